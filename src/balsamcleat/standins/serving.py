"""Run a stand-in's application on a loopback port, and crash it so that its sockets are cut."""

import random
import socket
from dataclasses import dataclass, field

import anyio
import anyio.abc
from starlette.types import ASGIApp

from balsamcleat.adapters.http_server import BoundSocket, bind, serve_app

__all__ = ["LOOPBACK", "StandInServer", "free_port"]

LOOPBACK = "127.0.0.1"
PORT_RANGE = (12_000, 32_000)
PORTS = random.SystemRandom()
STOP_TIMEOUT_S = 1.0


def free_port() -> int:
    """Return a port that is free for TCP and UDP at this moment.

    It lies below the range from which systems take the ports of outgoing connections, so that
    none of those takes it before it is bound.
    """
    while True:
        port = PORTS.randrange(*PORT_RANGE)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


@dataclass
class StandInServer:
    """An application listening on loopback.

    Attributes:
        app: The application.
        port: Its port; 0 takes a free one.
        stop: Set to end it in good order.
        scope: What a crash cancels.
        restarted: Set when it may listen again after a crash.
    """

    app: ASGIApp
    port: int = 0
    stop: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    restarted: anyio.Event = field(default_factory=anyio.Event)
    bound: BoundSocket = field(init=False)

    def __post_init__(self) -> None:
        self.bound = bind(LOOPBACK, self.port)
        self.port = int(self.bound.getsockname()[1])

    @property
    def address(self) -> str:
        """Its host and port."""
        return f"{LOOPBACK}:{self.port}"

    async def run(self) -> None:
        """Serve until ``stop`` is set or cancelled, through any number of crashes."""
        while True:
            await self.serve_once()
            if not self.scope.cancel_called:
                return
            await self.restarted.wait()
            self.restarted, self.scope = anyio.Event(), anyio.CancelScope()
            self.bound = bind(LOOPBACK, self.port)

    async def serve_once(self) -> None:
        """Serve until stopped or crashed."""
        ending = anyio.Event()

        async def end() -> None:
            await self.stop.wait()
            ending.set()

        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(end)
                await serve_app(self.app, self.bound, ending, STOP_TIMEOUT_S)
                group.cancel_scope.cancel()

    def crash(self) -> None:
        """Cut every connection without an answer and refuse new ones until restarted."""
        self.scope.cancel()

    def restart(self) -> None:
        """Listen again on the same port."""
        self.restarted.set()

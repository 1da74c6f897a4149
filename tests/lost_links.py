"""Links from VMs to targets on loopback, which can be cut for single VMs and targets."""

import errno
from dataclasses import dataclass, field
from enum import Enum

import anyio
import anyio.abc
import pytest

from balsamcleat.http1 import connection_pool
from balsamcleat.http1.streams import ByteStream, connect
from balsamcleat.tasks import target_probe


class Cut(Enum):
    """How a link is cut."""

    # Established connections and new ones hang.
    HANG = "hang"
    # Established connections are reset, and new ones hang.
    RESET = "reset"
    # Established connections live on, and new ones are refused.
    REFUSE = "refuse"


@dataclass
class Link:
    """Way of one VM to one target, with an address of its own; it passes bytes on both ways."""

    goal: str
    address: str = ""
    cut: Cut | None = None
    connections: set[tuple[anyio.abc.SocketStream, anyio.abc.SocketStream]] = field(
        default_factory=set
    )
    healed: anyio.Event = field(default_factory=anyio.Event)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accept connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        tasks.start_soon(listener.serve, self.carry)

    async def carry(self, caller: anyio.abc.SocketStream) -> None:
        host, port = self.goal.split(":")
        async with caller:
            try:
                target = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            pair = (caller, target)
            self.connections.add(pair)
            async with target, anyio.create_task_group() as ways:
                ways.start_soon(self.pump, caller, target, ways.cancel_scope)
                ways.start_soon(self.pump, target, caller, ways.cancel_scope)
            self.connections.discard(pair)

    async def pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                while self.cut is Cut.HANG:
                    await self.healed.wait()
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while self.cut is Cut.HANG:
                await self.healed.wait()
            scope.cancel()

    async def cut_off(self, how: Cut) -> None:
        self.cut = how
        if how is Cut.RESET:
            for pair in list(self.connections):
                for stream in pair:
                    await stream.aclose()

    def heal(self) -> None:
        self.cut = None
        self.healed.set()
        self.healed = anyio.Event()


class LinkedNetwork:
    """All links; new connections over a link that is cut hang or are refused."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.links: dict[str, Link] = {}
        for module in (connection_pool, target_probe):
            monkeypatch.setattr(module, "connect", self.connect)

    async def add(self, tasks: anyio.abc.TaskGroup, goal: str) -> Link:
        link = Link(goal)
        await link.run(tasks)
        self.links[link.address] = link
        return link

    async def connect(self, address: str, timeout_s: float) -> ByteStream:
        link = self.links.get(address)
        if link is not None and link.cut is Cut.REFUSE:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        if link is not None and link.cut is not None:
            await anyio.sleep(timeout_s)
            raise ConnectionRefusedError(errno.ETIMEDOUT, "timed out")
        return await connect(address, timeout_s)

"""A loopback proxy in front of a target: it delays, resets, cuts one way or falls silent."""

from dataclasses import dataclass, field

import anyio
import anyio.abc

from balsamcleat.http1.streams import ByteStream, connect, listen

CONNECT_S = 1.0


@dataclass
class SoakLink:
    """The way from all VMs to one target.

    Attributes:
        address: Where VMs connect.
        goal: The target's own address.
        delay_s: What each piece of data waits, in seconds.
        drops_requests: What callers send is lost, and the connection stays open.
        drops_answers: What the target sends is lost, and the connection stays open.
    """

    address: str
    goal: str
    tasks: anyio.abc.TaskGroup
    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    streams: set[ByteStream] = field(default_factory=set)
    accepting: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def start(self) -> None:
        self.accepting = anyio.CancelScope()
        self.tasks.start_soon(self.accept, listen(self.address), self.accepting)

    def refuse(self) -> None:
        """Accept no new connections until ``start``; open ones stay."""
        self.accepting.cancel()

    async def accept(self, listener, accepting: anyio.CancelScope) -> None:
        try:
            with accepting:
                while True:
                    await anyio.wait_readable(listener)
                    sock, peer = listener.accept()
                    self.tasks.start_soon(self.carry, ByteStream(sock, peer[0]))
        finally:
            listener.close()

    async def carry(self, caller: ByteStream) -> None:
        """Carry one connection until either side ends it."""
        try:
            target = await connect(self.goal, CONNECT_S)
        except OSError:
            caller.reset()
            return
        self.streams |= {caller, target}
        async with anyio.create_task_group() as ways:
            ways.start_soon(self.pump, caller, target, "drops_requests", ways.cancel_scope)
            ways.start_soon(self.pump, target, caller, "drops_answers", ways.cancel_scope)
        self.streams -= {caller, target}
        caller.close()
        target.close()

    async def pump(
        self, source: ByteStream, sink: ByteStream, drops: str, scope: anyio.CancelScope
    ) -> None:
        """Pass on what one side sends; a reset is passed on as one."""
        try:
            while data := await source.receive():
                await anyio.sleep(self.delay_s)
                if not getattr(self, drops):
                    await sink.send(data)
        except OSError:
            sink.reset()
        scope.cancel()

    def reset(self) -> None:
        """Break all connections that are open."""
        for stream in list(self.streams):
            stream.reset()

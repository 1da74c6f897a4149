"""A request that its VM has abandoned is not delivered later.

On trouble-1 of the desk, a sample that was sent into a cut reached its engine 6 s after its run had
ended at the VM, and ran: the connection was closed, and the bytes that waited for the broken link
were sent once it was back. Only a reset discards them.
"""

from pathlib import Path

import anyio
import anyio.abc
import pytest

from balsamcleat.http1 import ConnectionPool, Exchange, PoolLimits, Request
from balsamcleat.http1.streams import ByteStream
from raw_target import RawTarget, raw_target
from test_usage_wiring import close, entry_process

pytestmark = pytest.mark.anyio

REQUEST = Request("POST", "/", (("Host", "host.example"),), b"body")


@pytest.fixture
def ended(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return how connections end, in order."""
    ends: list[str] = []
    close_stream, reset_stream = ByteStream.close, ByteStream.reset

    def note_close(stream: ByteStream) -> None:
        ends.append("close")
        close_stream(stream)

    def note_reset(stream: ByteStream) -> None:
        ends.append("reset")
        reset_stream(stream)

    monkeypatch.setattr(ByteStream, "close", note_close)
    monkeypatch.setattr(ByteStream, "reset", note_reset)
    return ends


async def never_answer(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    await target.read_request(stream)
    await anyio.sleep_forever()


async def test_pools_of_targets_reset_what_is_abandoned(tmp_path: Path) -> None:
    process = entry_process(tmp_path, "127.0.0.77", {})
    try:
        assert process.connections.targets.limits.resets_abandoned
        assert process.connections.relays.limits.resets_abandoned
    finally:
        close(process)


async def test_cancelled_request_is_discarded_by_a_reset(ended: list[str]) -> None:
    async with raw_target(never_answer) as target:
        pool = ConnectionPool(PoolLimits(resets_abandoned=True))
        exchange = Exchange(pool, target.address, REQUEST)
        with anyio.move_on_after(0.2):
            try:
                await exchange.begin()
            finally:
                exchange.end()
        assert ended[0] == "reset"

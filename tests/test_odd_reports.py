"""Reports of a target that can't be read, or state numbers that can't be."""

import contextlib
from pathlib import Path

import anyio
import msgspec
import pytest

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request, Responder, Response
from balsamcleat.model import ServiceName, TargetId, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.platform.orders import ReplicaControl, parse_started_ms
from entry_world import entry_world, wait_until
from server_world import running_server
from soak import MODEL

DEPTH = 30_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
NUMBERS = {
    "31 digits": b"9" * 31,
    "400 digits": b"9" * 400,
    "5000 digits": b"9" * 5000,
    "31 digits below zero": b"-" + b"9" * 31,
    "1e999": b"1e999",
    "nested": NESTED,
    "text": b'"7"',
}
REPORTS = {
    "empty": b"",
    "cut": b'{"callSeq":',
    "wrong encoding": b'{"models":[{"name":"\xff"}]}',
    "unknown field nested": b'{"x":' + NESTED + b"}",
    **{f"callSeq {name}": b'{"callSeq":' + text + b"}" for name, text in NUMBERS.items()},
    **{f"born {name}": b'{"born":' + text + b"}" for name, text in NUMBERS.items()},
    **{
        f"version {name}": b'{"models":[{"name":"m","version":' + text + b"}]}"
        for name, text in NUMBERS.items()
    },
}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.anyio
@pytest.mark.parametrize("name", REPORTS)
async def test_unreadable_report_is_a_failed_request(name: str) -> None:
    """A version of 400 digits counted as newer than any that a trainer would name."""

    async def handle(request: Request, responder: Responder) -> None:
        await responder.send(Response(200, (), REPORTS[name]))

    async with running_server(handle) as server:
        host, port = server.listener.getsockname()
        replica = Replica(
            target_id=TargetId("t"),
            service=ServiceName("llm"),
            address=f"{host}:{port}",
            zone=ZoneName("a"),
            state=ReplicaState.READY,
            slots=8,
        )
        pool = ConnectionPool(PoolLimits())
        report = None
        with contextlib.suppress(AttemptFailedError):
            report = await ReplicaControl(pool, "vm").fetch_report(replica)
        pool.close()
    assert report is None


@pytest.mark.parametrize("name", NUMBERS)
def test_impossible_start_names_no_start(name: str) -> None:
    """A start of 400 digits counted as a new start of the target, which got no more work."""
    response = Response(200, (), b'{"born":' + NUMBERS[name] + b"}")
    assert parse_started_ms(response) is None


@pytest.mark.anyio
@pytest.mark.parametrize("name", ["callSeq", "born", "version", "nested"])
async def test_one_engines_odd_reports_cost_no_other_engine(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with entry_world(tmp_path, monkeypatch) as world, world.running():
        odd, *others = world.soak.engines
        sound_report = odd.report

        def report() -> dict[str, object]:
            found = sound_report()
            if name == "nested":
                return found | {"x": msgspec.Raw(NESTED)}
            if name == "version":
                return found | {"models": [{"name": MODEL, "version": 10**400}]}
            return found | {name: 10**400}

        odd.report = report  # type: ignore[method-assign]
        world.soak.write(f"version/{MODEL}", {"model": MODEL, "version": 2})
        await wait_until(lambda: all(engine.versions.get(MODEL) == 2 for engine in others))
        await world.check_service()
        lines = world.count("no report", target=odd.target_id)
        await anyio.sleep(1.0)
        # A target that does not report is asked again about every second.
        assert world.count("no report", target=odd.target_id) - lines <= 3
        assert not world.count("request failed by a fault")

"""Calls of duties: what is on the wire, what outcomes mean, and what must not be sent."""

import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from balsamcleat.decisions.duty_fitness import CallFitness
from balsamcleat.errors import InvalidInputError
from balsamcleat.http1 import (
    ByteStream,
    ConnectionPool,
    HttpServer,
    ServerLimits,
    connect,
    connection_pool,
)
from balsamcleat.http1.streams import listen
from balsamcleat.model import ServiceName, TeamName, VmId, ZoneName
from balsamcleat.platform import (
    DUTY_POOL_LIMITS,
    DutyChannel,
    DutySettings,
    PlatformDutyClient,
    load_platform_settings,
)
from balsamcleat.ports.duties import (
    Duty,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
    UsageReport,
)
from balsamcleat.standins.duty_platform import DutyPlatform
from raw_target import never_answer, raw_target, send_raw_response_then_close
from test_platform import SETTINGS

pytestmark = pytest.mark.anyio
STAMP = DutyStamp(VmId("front-a-1"), 12)
REPORT = UsageReport(353445120, {TeamName("huka270"): 412, TeamName("puhu251"): 7})
ORDER = TargetCountOrder(ServiceName("huvo11a"), ZoneName("a"), 6)
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Lease(DutyLease):
    """Lease that a test grants and withdraws."""

    def __init__(self) -> None:
        self.current: DutyStamp | None = STAMP
        self.is_open = True

    @property
    def stamp(self) -> DutyStamp | None:
        return self.current

    async def begin_calls(self) -> bool:
        return True

    async def end_calls(self) -> None:
        return None

    def report_fault(self) -> None:
        return None

    def can_call(self) -> bool:
        return self.is_open


class Caller:
    """Client with its lease and the fitness of its VM."""

    def __init__(self, address: str | None) -> None:
        self.lease = Lease()
        self.fitness = CallFitness()
        self.pool = ConnectionPool(DUTY_POOL_LIMITS)
        channel = DutyChannel(self.lease, self.fitness)
        self.client = PlatformDutyClient(
            lambda: address, self.pool, {Duty.USAGE: channel, Duty.SCALING: channel}
        )

    async def report(self) -> DutyOutcome:
        return await self.client.report_usage(REPORT, STAMP)


@asynccontextmanager
async def serving(platform: DutyPlatform) -> AsyncIterator[str]:
    """Serve the stand-in on a socket and yield its address."""
    listener = listen("127.0.0.1:0")
    host, port = listener.getsockname()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(HttpServer(listener, platform.handle, lambda: ServerLimits()).run)
        yield f"{host}:{port}"
        tasks.cancel_scope.cancel()


def unused_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def write_settings(path: Path, **changes: object) -> Path:
    path.write_text(json.dumps({**SETTINGS, **changes}))
    return path


def test_settings_name_the_duties_and_their_bounds(tmp_path: Path) -> None:
    """A VM must take a lease only for the duties that the platform names, and report in time."""
    api = {"address": "10.9.9.9:2", "ratePerS": 50.0, "duties": ["usage", "x"], "dutyPerS": 40.0}
    bounds = {"leaseMs": 3000, "reportWindowS": 4, "usageOff": 0.05, "usageLateS": 9}
    path = write_settings(tmp_path / "settings.json", cloudApi=api, bounds=bounds)
    assert load_platform_settings(path).duties == DutySettings(
        "10.9.9.9:2",
        usage=True,
        scaling=False,
        calls_per_s=40.0,
        report_window_s=4.0,
        usage_deadline_s=9.0,
    )
    both = {**api, "duties": ["usage", "autoscale"]}
    duties = load_platform_settings(write_settings(path, cloudApi=both)).duties
    assert duties is not None and duties.scaling and duties.report_window_s == 5.0


def test_settings_without_an_interface_for_duties_name_none(tmp_path: Path) -> None:
    """A deployment without the interface must not take leases or send calls."""
    assert load_platform_settings(write_settings(tmp_path / "settings.json")).duties is None


def test_window_without_length_is_refused(tmp_path: Path) -> None:
    """A window of 0 s would have the number of windows divided by zero."""
    path = write_settings(tmp_path / "settings.json", bounds={"reportWindowS": 0})
    with pytest.raises(InvalidInputError, match="reportWindowS"):
        load_platform_settings(path)


async def test_usage_report_on_the_wire() -> None:
    """Any other form would be rejected by the platform, and the window never reported."""
    async with raw_target(send_raw_response_then_close(OK_RESPONSE)) as target:
        assert await Caller(target.address).report() is DutyOutcome.ACCEPTED
        head, _, body = target.requests[0].partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /usage HTTP/1.1"
    assert {"Duty-Holder: front-a-1", "Fence-Token: 12"} <= set(lines)
    assert json.loads(body) == {"windowId": 353445120, "counts": {"huka270": 412, "puhu251": 7}}


@pytest.mark.parametrize("reclaimable", [False, True])
async def test_target_order_on_the_wire(reclaimable: bool) -> None:
    """An order of the wrong kind or number would be billed."""
    order = TargetCountOrder(ORDER.service, ORDER.zone, 6, reclaimable)
    async with raw_target(send_raw_response_then_close(OK_RESPONSE)) as target:
        assert await Caller(target.address).client.order_targets(order, STAMP) is (
            DutyOutcome.ACCEPTED
        )
        head, _, body = target.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /scale HTTP/1.1")
    expected: dict[str, object] = {"svc": "huvo11a", "zone": "a", "targetGroups": 6}
    assert json.loads(body) == (expected | {"spot": True} if reclaimable else expected)


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, DutyOutcome.ACCEPTED),
        (400, DutyOutcome.INVALID),
        (404, DutyOutcome.INVALID),
        (409, DutyOutcome.UNAVAILABLE),
        (429, DutyOutcome.THROTTLED),
        (500, DutyOutcome.UNKNOWN),
        (502, DutyOutcome.UNKNOWN),
        (503, DutyOutcome.THROTTLED),
    ],
)
async def test_outcomes_of_responses(status: int, outcome: DutyOutcome) -> None:
    """A call that may have taken effect must not be taken for one without effect."""
    response = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()
    async with raw_target(send_raw_response_then_close(response)) as target:
        caller = Caller(target.address)
        assert await caller.report() is outcome
        assert not caller.fitness.unanswered_calls


async def test_call_without_a_response_may_have_taken_effect() -> None:
    """Its outcome is unknown, and the VM may be unfit for the duty."""
    async with raw_target(never_answer) as target:
        caller = Caller(target.address)
        with anyio.fail_after(2.0):
            assert await caller.report() is DutyOutcome.UNKNOWN
        assert caller.fitness.unanswered_calls == 1


async def test_refused_connection_sends_nothing() -> None:
    """The report must be sent again, and the VM may be unfit for the duty."""
    caller = Caller(unused_address())
    assert await caller.report() is DutyOutcome.NOT_SENT
    assert caller.fitness.unanswered_calls == 1


async def test_nothing_is_sent_without_an_interface() -> None:
    """A reload of the settings may remove the interface while a call is prepared."""
    assert await Caller(None).report() is DutyOutcome.NOT_SENT


@pytest.mark.parametrize("withdrawal", ["expired", "lost", "held anew"])
async def test_call_is_not_sent_after_its_lease_was_lost(
    withdrawal: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The VM is frozen while the connection is opened, and another VM performs the duty."""
    async with raw_target(never_answer) as target:
        caller = Caller(target.address)

        async def connect_and_lose(address: str, timeout_s: float) -> ByteStream:
            stream = await connect(address, timeout_s)
            caller.lease.is_open = withdrawal != "expired"
            anew = DutyStamp(STAMP.holder, STAMP.fencing_token + 2)
            caller.lease.current = {"expired": STAMP, "lost": None, "held anew": anew}[withdrawal]
            return stream

        monkeypatch.setattr(connection_pool, "connect", connect_and_lose)
        assert await caller.report() is DutyOutcome.NOT_SENT
        assert not target.requests
        # The VM lost the lease, not its link to the platform.
        assert not caller.fitness.unanswered_calls


async def test_call_is_not_sent_on_a_kept_connection_after_its_lease_was_lost() -> None:
    """Nothing has to be opened there, so a check before the connection would be the only one."""
    platform = DutyPlatform()
    async with serving(platform) as address:
        caller = Caller(address)
        assert await caller.report() is DutyOutcome.ACCEPTED
        assert caller.pool.has_idle(address)
        caller.lease.is_open = False
        assert await caller.report() is DutyOutcome.NOT_SENT
        assert len(platform.calls) == 1


async def test_abandoned_call_is_discarded_by_a_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    """A closed connection would deliver the call when the link is restored, after later calls."""
    ended: list[str] = []
    monkeypatch.setattr(ByteStream, "reset", lambda stream: ended.append("reset"))
    monkeypatch.setattr(ByteStream, "close", lambda stream: ended.append("closed"))
    async with raw_target(never_answer) as target:
        assert await Caller(target.address).report() is DutyOutcome.UNKNOWN
    assert ended == ["reset"]


async def test_stand_in_answers_with_its_flaws() -> None:
    """The tests of duties rely on it."""
    platform = DutyPlatform()
    async with serving(platform) as address:
        caller = Caller(address)
        flaws = platform.flaws
        flaws.unavailable = flaws.throttled = flaws.failing = flaws.lose_responses = 1
        outcomes = [await caller.report() for _ in range(4)]
        assert outcomes == [
            DutyOutcome.UNKNOWN,
            DutyOutcome.THROTTLED,
            DutyOutcome.UNKNOWN,
            DutyOutcome.ACCEPTED,
        ]
        assert await caller.client.order_targets(ORDER, STAMP) is DutyOutcome.ACCEPTED
    assert [call.status for call in platform.calls] == [409, 429, 500, 200, 200]
    assert platform.calls[0].content == REPORT
    assert platform.calls[-1].content == ORDER
    assert not platform.malformed and not platform.broken_rules()

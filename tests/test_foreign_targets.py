"""An entry of another writer in the list of targets ends no duty, and gets no request.

In review case 11, an entry that lacked fields counted as an engine. The error of a request to it,
which could not be encoded, ended the process of the VM that held the lease on weight orders, and
the VM took the lease again after each start.
"""

import json
from pathlib import Path

import anyio
import anyio.abc
import pytest

from balsamcleat.decisions.duty_lease import (
    LEASE_TERM_S,
    UNFIT_DELAY_S,
    DutyLeaseState,
    LeaseRowWatch,
)
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.errors import AttemptFailedError, InvalidInputError
from balsamcleat.http1 import ConnectionPool, Headers, PoolLimits, Request
from balsamcleat.model import FailureKind, ServiceName, TargetId, TeamName, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.platform import check_requests, decode_replica, decode_step
from balsamcleat.platform.headers import with_team
from balsamcleat.platform.orders import ReplicaControl
from balsamcleat.platform.steps import sample_request_headers
from balsamcleat.ports.duties import Duty
from balsamcleat.tasks.duty_faults import FAULT_PAUSE_S, perform_guarded
from balsamcleat.tasks.hop_messages import StartCheck, parse_hop_request, wrap_request
from entry_world import entry_world, put_entries
from odd_entries import sound_entry
from raw_target import RawTarget, raw_target
from step_world import MODEL, make_engine, run_in_virtual_time
from test_version_orders import ENGINES, HeldLease, LoadingEngines, load_controller

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ARROW = "\u2192"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("target_id", ["Pr\u00fcfstand 1", "a b", "a\nb", "", ARROW])
def test_entry_under_an_id_that_no_header_can_hold_names_no_target(target_id: str) -> None:
    """Its id could not be sent with a request, which ended the holder of the orders."""
    assert decode_replica(target_id, json.dumps(sound_entry("llm")).encode(), 1) is None


def test_entry_of_an_engine_service_without_models_names_no_target() -> None:
    """Engines list their models; an entry without them took calls and samples."""
    entry = {name: value for name, value in sound_entry("llm").items() if name != "models"}
    replica = decode_replica("t", json.dumps(entry).encode(), 1)
    assert replica is not None
    directory = ReplicaDirectory()
    directory.apply_engine_services(frozenset({ServiceName("llm")}))
    directory.apply_entry(replica)
    assert not directory.ready_replicas(ServiceName("llm"))
    # The configuration may make the service a plain one, or come after the list.
    directory.apply_engine_services(frozenset())
    assert directory.takes_requests(replica)
    directory.apply_engine_services(frozenset({ServiceName("llm")}))
    assert not directory.takes_requests(replica)


async def fetch(headers: Headers, target: str = "/x") -> tuple[bytes, AttemptFailedError | None]:
    """Send a request; return the bytes that arrived and the failure, if any."""
    received = b""

    async def script(raw: RawTarget, stream: anyio.abc.SocketStream) -> None:
        nonlocal received
        while b"\r\n\r\n" not in received:
            received += await stream.receive()
        await stream.send(OK_RESPONSE)

    async with raw_target(script) as server:
        pool = ConnectionPool(PoolLimits())
        try:
            await pool.fetch(server.address, Request("GET", target, headers), 2.0)
        except AttemptFailedError as error:
            return received, error
        finally:
            pool.close()
    return received, None


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("headers", "target"),
    [
        ((("Host", "h"), ("X", ARROW)), "/x"),
        ((("Host", "h"), (ARROW, "x")), "/x"),
        ((("Host", "h"), ("X", "a\r\nY: b")), "/x"),
        ((("Host", "h"),), "/\u00fc"),
        ((("Host", "h"),), "/a b"),
        ((), "/x"),
    ],
    ids=["value", "name", "line break", "path", "space", "no host"],
)
async def test_request_that_cannot_be_encoded_is_a_failed_attempt(
    headers: Headers, target: str
) -> None:
    """The errors of the encoder were caught nowhere; each ended a run, a duty or the process."""
    received, error = await fetch(headers, target)
    assert error is not None
    assert (error.kind, error.perhaps_sent) == (FailureKind.INVALID_REQUEST, False)
    assert received == b""


@pytest.mark.anyio
async def test_bytes_of_a_header_beyond_ascii_are_forwarded_unchanged() -> None:
    """A call with such a byte in a header got status 500 at each try."""
    received, error = await fetch((("Host", "h"), ("X", "Gr\u00fc\u00dfe")))
    assert error is None
    assert b"X: Gr\xfc\xdfe\r\n" in received


@pytest.mark.anyio
async def test_report_of_a_target_whose_id_no_header_can_hold_is_a_failed_report() -> None:
    """Review case 11: the error of this request ended the process."""
    engine = make_engine(0)
    foreign = Replica(
        TargetId(ARROW), engine.service, engine.address, engine.zone, engine.state, engine.slots
    )
    async with raw_target(lambda *_: anyio.sleep(1.0)) as server:
        control = ReplicaControl(ConnectionPool(PoolLimits()), "vm-1")
        with pytest.raises(AttemptFailedError):
            await control.fetch_report(
                Replica(
                    foreign.target_id,
                    foreign.service,
                    server.address,
                    foreign.zone,
                    foreign.state,
                    foreign.slots,
                )
            )


class EnginesWithAFault(LoadingEngines):
    """Engines of which one meets a fault of this program."""

    async def fetch_report(self, replica: Replica) -> ReplicaReport:
        if replica.target_id == make_engine(0).target_id:
            raise RuntimeError("a fault with this target")
        return await super().fetch_report(replica)


def test_fault_with_one_target_ends_no_order_to_the_others() -> None:
    """Review case 11: an error with one target ended the task group, and with it the process."""

    async def test() -> None:
        directory, engines = ReplicaDirectory(), EnginesWithAFault()
        for number in range(ENGINES):
            directory.apply_entry(make_engine(number))
        controller = load_controller(directory, engines, {MODEL: WeightVersion(2)})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(10.0)
            tasks.cancel_scope.cancel()
        assert len(engines.versions) == ENGINES - 1

    run_in_virtual_time(test)


class OfferedLease(HeldLease):
    """Lease that counts the reports of faults."""

    faults = 0

    def report_fault(self) -> None:
        self.faults += 1


def test_fault_in_a_duty_costs_a_pause_and_offers_the_lease() -> None:
    """An error of planning ended the process, and the VM took the duty again."""

    async def fail() -> None:
        raise RuntimeError("a fault in the duty")

    async def test() -> None:
        lease, began_s = OfferedLease(), anyio.current_time()
        assert not await perform_guarded(Duty.ORDERS, lease, fail)
        assert anyio.current_time() - began_s >= FAULT_PAUSE_S
        assert lease.faults == 1
        assert await perform_guarded(Duty.ORDERS, lease, lambda: anyio.sleep(0.0))

    run_in_virtual_time(test)


def test_lease_of_an_earlier_process_goes_to_other_vms_first() -> None:
    """A VM whose process the duty had ended took the lease again at once, eight times in 30 s."""
    row = DutyLeaseState("vm-1", "first", True, 0)
    restarted = LeaseRowWatch("vm-1", "second")
    other = LeaseRowWatch("vm-2", "x")
    assert not restarted.can_acquire(row, 7, 0.0, is_fit=True)
    assert not other.can_acquire(row, 7, 0.0, is_fit=True)
    assert other.can_acquire(row, 7, LEASE_TERM_S, is_fit=True)
    assert not restarted.can_acquire(row, 7, LEASE_TERM_S, is_fit=True)
    # Without another VM, the duty is performed all the same.
    assert restarted.can_acquire(row, 7, LEASE_TERM_S + UNFIT_DELAY_S, is_fit=True)
    # The response to the acquisition of this very process was lost.
    assert LeaseRowWatch("vm-1", "first").can_acquire(row, 7, 0.0, is_fit=True)


def submission(**item: object) -> bytes:
    """Return a submission of one sample."""
    fields: dict[str, object] = {"id": "i1", "path": "/p/1", "headers": {"Model": "m"}, "body": ""}
    return json.dumps({"requests": [fields | item]}).encode()


@pytest.mark.parametrize(
    "item",
    [
        {"headers": {"X": "a\r\nY: b"}},
        {"headers": {"X y": "a"}},
        {"headers": {"\u00fc": "a"}},
        {"path": "/a b"},
        {"path": ""},
        {"path": "/" + ARROW},
        {"id": "a\nb"},
        {"id": " a"},
        {"scorerUrl": {"id": "s", "host": "h", "path": "/a b"}},
        {"scorerUrl": {"id": "s", "host": "h\n", "path": "/a"}},
    ],
)
def test_step_with_a_request_that_cannot_be_sent_is_rejected_at_once(
    item: dict[str, object],
) -> None:
    """Such a sample was accepted, and its run failed again and again until the step expired."""
    step = decode_step((("Attempt-Id", "s1"),), submission(**item))
    with pytest.raises(InvalidInputError):
        check_requests(step)


@pytest.mark.anyio
@pytest.mark.parametrize("text", ["Gr\u00fc\u00dfe", ARROW, " padded\t"])
async def test_text_in_a_header_of_a_sample_reaches_the_target_in_utf8(text: str) -> None:
    """A sample with such a header was accepted and never sent."""
    step = decode_step((("Attempt-Id", "s1"),), submission(headers={"X": text}))
    check_requests(step)
    headers = sample_request_headers(
        step.samples[0],
        "h",
        target_id=TargetId("t"),
        remaining_s=1.0,
        priority=4,
        last_event=None,
    )
    received, error = await fetch(headers)
    assert error is None
    assert f"X: {text.strip()}\r\n".encode() in received


def test_team_with_a_name_beyond_ascii_reaches_the_target_and_other_vms() -> None:
    """Each request of such a team failed, as its name could not be encoded."""
    team = TeamName("Z\u00fcrich " + ARROW)
    assert with_team((), team)[0][1].encode("latin-1") == team.encode()
    request = Request("GET", "/x", (("Host", "h"),))
    wrapped = wrap_request(
        request,
        make_engine(0),
        StartCheck.NONE,
        needs_new_connection=False,
        is_live=True,
        team=team,
    )
    hop = parse_hop_request(wrapped)
    assert hop is not None
    assert hop.team == team


@pytest.mark.anyio
async def test_no_call_reaches_the_address_of_an_entry_without_all_fields(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Review case 14: a server that is no target ran calls, which were lost on an unsafe route."""
    requests: list[bytes] = []

    async def script(raw: RawTarget, stream: anyio.abc.SocketStream) -> None:
        requests.append(await stream.receive())
        await stream.send(OK_RESPONSE)

    async with raw_target(script) as server, entry_world(tmp_path, monkeypatch) as world:
        entry = {"svc": "app", "address": server.address, "state": "ready", "zone": "a"}
        put_entries(world.soak.store, {"other": json.dumps(entry).encode()})
        async with world.running():
            for _ in range(20):
                assert (await world.call()).status == 200
    assert not requests

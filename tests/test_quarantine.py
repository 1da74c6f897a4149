"""A poison request crashes at most two targets of a zone, and requests beside it aren't blocked."""

import random
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import anyio
import pytest
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.commands.generate import Generate
from balsamcleat.decisions.admission import Admission
from balsamcleat.decisions.quarantine import (
    BLOCK_DURATION_S,
    Allowed,
    Blocked,
    Quarantine,
    RunIsolated,
    WaitForTrial,
)
from balsamcleat.decisions.retry import RetryBudget, RetryPolicy
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import (
    FailureKind,
    GenerationRequest,
    RequestId,
    ServiceName,
    TargetId,
    TargetInfo,
    TokenFrame,
    WeightVersion,
    ZoneName,
)
from balsamcleat.tasks.admission_controller import AdmissionController
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.quarantine_guard import QuarantineGuard

T1, T2 = TargetId("t1"), TargetId("t2")


def test_suspect_runs_isolated_and_is_blocked_only_if_its_trial_crashes() -> None:
    quarantine = Quarantine()
    for digest in ("poison", "innocent"):
        quarantine.record_crash(digest, T1, 0.0)
        assert quarantine.decide(digest, 0.0) == RunIsolated()
    quarantine.begin_trial("innocent", T2, 0.0)
    assert quarantine.decide("innocent", 0.0) == WaitForTrial()
    assert quarantine.reserved_targets(0.0) == {T2}
    quarantine.record_survival("innocent", T2, 1.0)
    assert quarantine.decide("innocent", 1.0) == Allowed()
    quarantine.begin_trial("poison", T2, 1.0)
    quarantine.record_crash("poison", T2, 2.0)
    assert quarantine.decide("poison", 3.0) == Blocked(BLOCK_DURATION_S - 1.0)
    assert quarantine.decide("poison", 3.0 + BLOCK_DURATION_S) == Allowed()


def test_crash_of_a_shared_reserved_target_blocks_no_request() -> None:
    quarantine = Quarantine()
    quarantine.record_crash("innocent", T1, 0.0)
    quarantine.begin_trial("innocent", T2, 0.0)
    quarantine.mark_trial_shared(T2)
    quarantine.record_crash("innocent", T2, 1.0)
    assert quarantine.decide("innocent", 1.0) == RunIsolated()


def test_abandoned_trial_releases_the_suspect_and_its_target() -> None:
    quarantine = Quarantine()
    quarantine.record_crash("innocent", T1, 0.0)
    quarantine.begin_trial("innocent", T2, 0.0)
    assert quarantine.record_abandoned_trial("innocent", T1, 1.0) is None
    assert quarantine.record_abandoned_trial("innocent", T2, 1.0) is not None
    assert quarantine.decide("innocent", 1.0) == RunIsolated()
    assert not quarantine.reserved_targets(1.0)


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.sampled_from(["crash", "trial", "survive", "share", "wait"]), max_size=30))
def test_only_a_crash_in_an_isolated_trial_blocks_a_request(events: list[str]) -> None:
    local, peer, now_s, is_isolated = Quarantine(), Quarantine(), 0.0, False
    local.record_crash("d", T1, now_s)
    for event in events:
        update, before = None, local.decide("d", now_s)
        if event == "crash":
            update = local.record_crash("d", T2, now_s)
            was_blocked = isinstance(before, Blocked)
            assert isinstance(local.decide("d", now_s), Blocked) == (is_isolated or was_blocked)
            is_isolated = False
        elif event == "trial" and before == RunIsolated():
            update, is_isolated = local.begin_trial("d", T2, now_s), True
        elif event == "survive":
            update, is_isolated = local.record_survival("d", T2, now_s), False
        elif event == "share":
            local.mark_trial_shared(T2)
            is_isolated = False
        elif event == "wait":
            now_s += 1.0
        if update is not None:
            peer.apply_update(update, now_s)
            assert type(peer.decide("d", now_s)) is type(local.decide("d", now_s))


@dataclass
class Engine:
    """A simulated engine that crashes on a poison prompt and breaks off all running requests."""

    name: str
    crash_kind: FailureKind = FailureKind.CUT
    crashed: anyio.Event = field(default_factory=anyio.Event)
    ran: list[str] = field(default_factory=list)

    async def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenFrame, None]:
        if self.crashed.is_set():
            raise self.failure(FailureKind.UNREACHED)
        self.ran.append(request.prompt)
        for offset in range(request.resume_tokens, 4):
            with anyio.move_on_after(0.05):
                await self.crashed.wait()
            if "poison" in request.prompt and offset == 1:
                self.crashed.set()
            if self.crashed.is_set():
                raise self.failure(self.crash_kind)
            finish = "stop" if offset == 3 else None
            yield TokenFrame(offset, 1, f"{offset}", WeightVersion(1), finish)

    def failure(self, kind: FailureKind) -> AttemptFailedError:
        sent = kind is not FailureKind.UNREACHED
        return AttemptFailedError("x", step="s", peer=self.name, perhaps_sent=sent, kind=kind)


class Zone:
    """Entry VMs and engines of one zone; notices between the VMs arrive without delay."""

    def __init__(self, vms: int, engines: int, crash_kind: FailureKind = FailureKind.CUT) -> None:
        names = [f"e{number}" for number in range(engines)]
        self.engines = {name: Engine(name, crash_kind) for name in names}
        self.guards: list[QuarantineGuard] = []
        self.vms = [self.vm(number) for number in range(vms)]

    def vm(self, number: int) -> Generate:
        clock, metrics, randomness = SystemClock(), MemoryMetrics(), SeededRandomness(number)
        router = Router(ZoneName("z"), randomness.generator("router"))
        router.configure(
            TargetInfo(TargetId(name), ServiceName("m"), ZoneName("z"), name)
            for name in self.engines
        )

        async def is_alive(target: TargetInfo) -> bool:
            return not self.engines[target.address].crashed.is_set()

        async def broadcast(kind: str, payload: bytes) -> None:
            for guard in self.guards:
                guard.handle_notice(payload)

        guard = QuarantineGuard(Quarantine(), router, clock, metrics, is_alive)
        guard.notify_zone = broadcast
        self.guards.append(guard)
        return Generate(
            AdmissionController(Admission(random.Random(1)), clock, metrics),
            router,
            Connections(self.engines.__getitem__, None, None),  # type: ignore[arg-type]
            RetryPolicy(RetryBudget(1e6, 1e6), random.Random(number), max_attempts=10),
            clock,
            randomness,
            metrics,
            None,
            guard,
        )

    async def ask(self, vm: int, prompt: str) -> str | AttemptFailedError:
        request = GenerationRequest(RequestId(""), "m", prompt, 8)
        try:
            frames = [item async for item in self.vms[vm](request, anyio.current_time() + 30.0)]
        except AttemptFailedError as error:
            return error
        return "".join(item.text for item in frames)

    def lost(self) -> int:
        return sum(engine.crashed.is_set() for engine in self.engines.values())


@pytest.mark.parametrize("crash_kind", [FailureKind.CUT, FailureKind.SILENT])
@pytest.mark.parametrize("sends", [1, 5])
def test_retried_poison_request_crashes_two_targets_and_blocks_no_other_request(
    sends: int, crash_kind: FailureKind
) -> None:
    async def scenario() -> None:
        zone = Zone(vms=2, engines=6, crash_kind=crash_kind)
        results: dict[str, str | AttemptFailedError] = {}

        async def ask(vm: int, prompt: str) -> None:
            results[prompt] = await zone.ask(vm, prompt)

        async with anyio.create_task_group() as group:
            for number in range(24):
                group.start_soon(ask, number % 2, f"innocent {number}")
            for number in range(sends):
                error = await zone.ask(number % 2, "poison")
                assert isinstance(error, AttemptFailedError)
                assert error.kind is FailureKind.POISONED
                assert error.retry_after_s is not None and error.retry_after_s > 0
                # The first request ran; retries are rejected before anything is sent.
                assert error.perhaps_sent == (number == 0)
        assert zone.lost() <= 2
        assert set(results.values()) == {"0123"}

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(scenario, backend="trio", backend_options={"clock": clock})


def test_suspect_under_load_gets_a_drained_target_and_releases_it_if_abandoned() -> None:
    async def scenario() -> None:
        zone = Zone(vms=1, engines=2)
        generate = zone.vm(0)
        guard, router = generate.quarantine, generate.router
        digest, query = "suspect", RouteQuery(ServiceName("m"))
        guard.quarantine.record_crash(digest, TargetId("gone"), 0.0)
        names = [target.target_id for target in router.targets.values()]
        for name in names:
            router.record_start(name)
        placements = []

        async def place() -> None:
            placements.append(await guard.place(digest, query, anyio.current_time() + 60.0))

        async with anyio.create_task_group() as group:
            group.start_soon(place)
            await anyio.sleep(1.0)
            (reserved,) = guard.quarantine.reserved_targets(anyio.current_time())
            assert not placements
            router.record_end(reserved)
        assert placements[0].target.target_id == reserved
        await guard.record_abandonment(placements[0])
        assert not guard.quarantine.reserved_targets(anyio.current_time())
        router.record_start(reserved)
        with anyio.move_on_after(1.0):
            await guard.place(digest, query, anyio.current_time() + 60.0)
        assert not guard.quarantine.reserved_targets(anyio.current_time())

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0.0))

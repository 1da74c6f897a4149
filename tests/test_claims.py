"""Idempotency keys: at most once across resends, VMs and outages of the table."""

from dataclasses import dataclass, field, replace

import anyio
import pytest
import trio.testing

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.commands.run_call import CallFailed
from balsamcleat.commands.run_once import KEY_REUSED, LOST, STILL_RUNNING, STORE_DOWN, RunOnce
from balsamcleat.configuration import OutagePolicy
from balsamcleat.decisions.claims import CLAIM_TTL_S, CLOCK_MARGIN_S, claim_for_call
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import Answer, CallRequest, Certainty, RequestId, ServiceName, VmId
from balsamcleat.model.ids import TeamName
from balsamcleat.standins.memory_store import CommitFlaw, MemoryObjects, MemoryTable
from balsamcleat.tasks.claim_keeper import MAX_INLINE_BODY_BYTES, ClaimKeeper
from balsamcleat.tasks.claim_writer import ClaimWriter

ANSWER = Answer(200, "text/plain", b"done")
UNKNOWN = CallFailed(Certainty.OUTCOME_UNKNOWN, "cut")
NOT_RUN = CallFailed(Certainty.NOT_RUN, "no target")


def call(key: str = "k", body: bytes = b"list", deadline_s: float = 10.0) -> CallRequest:
    return CallRequest(
        request_id=RequestId("r"),
        service=ServiceName("board"),
        team=TeamName("t"),
        method="POST",
        path="/push",
        body=body,
        content_type="text/plain",
        idempotent=False,
        idempotency_key=key,
        deadline_s=anyio.current_time() + deadline_s,
    )


class Clock(SystemClock):
    def wall_s(self) -> float:
        return anyio.current_time()


@dataclass
class Target:
    outcome: Answer | CallFailed = ANSWER
    delay_s: float = 0.5
    runs: list[bytes] = field(default_factory=list)

    async def __call__(self, request: CallRequest) -> Answer | CallFailed:
        if self.outcome != NOT_RUN:
            self.runs.append(request.body)
        await anyio.sleep(self.delay_s)
        return self.outcome


@dataclass
class World:
    group: anyio.abc.TaskGroup
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    target: Target = field(default_factory=Target)
    policy: OutagePolicy = OutagePolicy.REFUSE
    metrics: MemoryMetrics = field(default_factory=MemoryMetrics)

    def vm(self, number: int, committer: "ClaimWriter | None" = None) -> RunOnce:
        randomness = SeededRandomness(number)
        vm_id = VmId(f"vm-{number}")

        async def forward(other: VmId, payload: bytes) -> bytes:
            if committer is None:
                raise AttemptFailedError("cut off", step="f", peer=other, perhaps_sent=True)
            return await committer.handle_forwarded_write(payload)

        # A VM with a committer believes only in that one, so that it always forwards.
        names = [vm_id] if committer is None else [committer.vm_id]
        writer = ClaimWriter(
            vm_id, self.table, Clock(), randomness, self.metrics, lambda: names, forward
        )
        keeper = ClaimKeeper(self.table, self.objects, writer, Clock(), randomness, self.metrics)
        self.group.start_soon(writer.run)
        self.group.start_soon(keeper.run)
        return RunOnce(
            vm_id,
            self.target,  # type: ignore[arg-type]
            keeper,
            lambda service: self.policy,
            Clock(),
            randomness,
            self.metrics,
        )


def run(test) -> None:  # type: ignore[no-untyped-def]
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            await test(World(group))
            group.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(scenario, backend="trio", backend_options={"clock": clock})


async def all_of(*sends) -> list[object]:  # type: ignore[no-untyped-def]
    results: list[object] = [None] * len(sends)

    async def one(number: int) -> None:
        results[number] = await sends[number]

    async with anyio.create_task_group() as group:
        for number in range(len(sends)):
            group.start_soon(one, number)
    return results


def test_concurrent_resends_through_any_vm_run_once_and_get_the_same_answer() -> None:
    async def scenario(world: World) -> None:
        vms = [world.vm(number) for number in range(4)]
        sends = [vm(call()) for vm in vms for _ in range(3)]
        assert await all_of(*sends) == [ANSWER] * 12
        assert len(world.target.runs) == 1

    run(scenario)


@pytest.mark.parametrize("size", [4, MAX_INLINE_BODY_BYTES + 1])
def test_a_later_resend_through_another_vm_finds_the_first_answer(size: int) -> None:
    async def scenario(world: World) -> None:
        world.target.outcome = replace(ANSWER, body=b"x" * size)
        assert await world.vm(0)(call()) == world.target.outcome
        await anyio.sleep(5)
        assert await world.vm(1)(call()) == world.target.outcome
        assert len(world.target.runs) == 1

    run(scenario)


def test_a_key_used_for_another_body_is_refused_and_not_run() -> None:
    async def scenario(world: World) -> None:
        first = world.vm(0)
        await first(call())
        for vm in (first, world.vm(1)):
            assert await vm(call(body=b"other")) == KEY_REUSED
        assert world.target.runs == [b"list"]

    run(scenario)


@pytest.mark.parametrize(
    "flaw", [CommitFlaw.LOST_APPLIED, CommitFlaw.LOST_DROPPED, CommitFlaw.REFUSED]
)
def test_a_claim_whose_answer_is_lost_runs_at_most_once_and_refuses_honestly(
    flaw: CommitFlaw,
) -> None:
    async def scenario(world: World) -> None:
        world.table.flaws.append(flaw)
        first = await world.vm(0)(call())
        assert first == ANSWER if flaw is CommitFlaw.LOST_APPLIED else first == STORE_DOWN
        await anyio.sleep(5)
        assert await world.vm(1)(call()) == ANSWER
        assert len(world.target.runs) == 1

    run(scenario)


def test_a_claim_that_takes_effect_after_its_refusal_frees_the_key() -> None:
    async def scenario(world: World) -> None:
        world.table.flaws.append(CommitFlaw.LOST_LATE)
        assert await world.vm(0)(call()) == STORE_DOWN
        world.table.deliver_late()
        await anyio.sleep(5)
        assert await world.vm(1)(call()) == ANSWER
        assert len(world.target.runs) == 1

    run(scenario)


def test_a_vm_that_dies_between_claim_and_send_leaves_the_outcome_unknown_not_a_second_run() -> (
    None
):
    async def scenario(world: World) -> None:
        dead = claim_for_call(call(), "token-of-the-dead", "vm-9", anyio.current_time(), 10.0)
        vm = world.vm(0)
        assert (await vm.claims.writer.write(dead.claim_write())).value == "committed"
        assert await vm(call(deadline_s=2.0)) == STILL_RUNNING
        await anyio.sleep(10.0 + CLOCK_MARGIN_S)
        assert await vm(call()) == LOST
        assert await world.vm(1)(call()) == LOST
        assert world.target.runs == []

    run(scenario)


def test_a_call_that_was_not_run_leaves_the_key_free() -> None:
    async def scenario(world: World) -> None:
        world.target.outcome = NOT_RUN
        assert await world.vm(0)(call()) == NOT_RUN
        await anyio.sleep(5)
        world.target.outcome = ANSWER
        assert await all_of(*[world.vm(number)(call()) for number in (1, 2)]) == [ANSWER] * 2
        assert len(world.target.runs) == 1

    run(scenario)


def test_a_call_whose_outcome_is_unknown_is_not_run_again() -> None:
    async def scenario(world: World) -> None:
        world.target.outcome = UNKNOWN
        vm = world.vm(0)
        assert await vm(call()) == UNKNOWN
        assert await vm(call()) == UNKNOWN
        await anyio.sleep(5)
        assert await world.vm(1)(call()) == LOST
        assert len(world.target.runs) == 1

    run(scenario)


def test_while_the_table_is_out_a_service_refuses_what_it_did_not_run() -> None:
    async def scenario(world: World) -> None:
        world.table.down = True
        assert await world.vm(0)(call()) == STORE_DOWN
        assert world.target.runs == []

    run(scenario)


def test_a_service_that_runs_without_the_table_records_the_outcome_when_it_is_back() -> None:
    async def scenario(world: World) -> None:
        world.policy = OutagePolicy.RUN
        world.table.down = True
        vm = world.vm(0)
        assert await all_of(vm(call()), vm(call())) == [ANSWER] * 2
        world.table.down = False
        await anyio.sleep(5)
        assert await world.vm(1)(call()) == ANSWER
        assert len(world.target.runs) == 1

    run(scenario)


def test_an_expired_key_is_free_and_its_rows_are_swept() -> None:
    async def scenario(world: World) -> None:
        await world.vm(0)(call())
        await world.vm(0)(call("swept"))
        await anyio.sleep(CLAIM_TTL_S + 2 * CLOCK_MARGIN_S)
        vm = world.vm(1)
        assert await vm(call()) == ANSWER
        assert len(world.target.runs) == 3
        await anyio.sleep(5)
        before = len(world.table.rows)
        assert await vm.claims.sweep() == 3
        assert len(world.table.rows) == before - 3

    run(scenario)


def test_a_vm_that_cannot_reach_the_committer_commits_by_itself() -> None:
    async def scenario(world: World) -> None:
        vm = world.vm(0)
        vm.claims.writer.zone_vms = lambda: [VmId("vm-unreachable")]
        assert await vm(call()) == ANSWER
        assert world.metrics.counters["claim.forward.failed"] >= 1

    run(scenario)


@pytest.mark.bounds
def test_a_zones_claims_stay_within_ten_commits_a_second() -> None:
    async def scenario(world: World) -> None:
        world.target.delay_s = 0.01
        committer = world.vm(0)
        vms = [committer, *(world.vm(n, committer.claims.writer) for n in range(1, 10))]
        began_s, before = anyio.current_time(), world.table.commits
        for _ in range(20):
            sends = [
                vm(call(f"{vm.vm_id}-{anyio.current_time()}-{n}")) for vm in vms for n in (0, 1)
            ]
            await all_of(*sends)
        elapsed_s = anyio.current_time() - began_s
        commits = world.table.commits - before
        assert len(world.target.runs) == 400
        assert commits <= 10 * elapsed_s + 1
        rows = world.metrics.counters["claim.commit.rows"]
        assert rows / commits > 4, (rows, commits, elapsed_s)

    run(scenario)


def test_refusals_in_a_long_outage_push_no_outcome_out_of_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("balsamcleat.tasks.claim_keeper.MAX_UNRECORDED", 2)

    async def scenario(world: World) -> None:
        world.table.down = True
        vm = world.vm(0)
        world.policy = OutagePolicy.RUN
        assert await vm(call("ran")) == ANSWER
        world.policy = OutagePolicy.REFUSE
        for number in range(4):
            assert await vm(call(f"refused {number}")) == STORE_DOWN
        world.table.down = False
        await anyio.sleep(5)
        assert await world.vm(1)(call("ran")) == ANSWER
        assert len(world.target.runs) == 1

    run(scenario)

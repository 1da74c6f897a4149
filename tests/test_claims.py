"""Idempotency keys: a call runs at most once despite retries, several VMs and table outages."""

from dataclasses import dataclass, field, replace

import anyio
import pytest
import trio.testing

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.commands.run_call import CallFailure
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
UNKNOWN = CallFailure(Certainty.OUTCOME_UNKNOWN, "cut")
NOT_RUN = CallFailure(Certainty.NOT_RUN, "no target")


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
    """Target that records the calls that it runs and returns a fixed outcome."""

    outcome: Answer | CallFailure = ANSWER
    delay_s: float = 0.5
    runs: list[bytes] = field(default_factory=list)

    async def __call__(self, request: CallRequest) -> Answer | CallFailure:
        if self.outcome != NOT_RUN:
            self.runs.append(request.body)
        await anyio.sleep(self.delay_s)
        return self.outcome


@dataclass
class Cluster:
    """VMs that share a table, an object store and a target."""

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

        # A VM with a committer sees only that VM in its zone, so it always forwards its claims.
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
            await test(Cluster(group))
            group.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(scenario, backend="trio", backend_options={"clock": clock})


async def run_concurrently(*calls) -> list[object]:  # type: ignore[no-untyped-def]
    answers: list[object] = [None] * len(calls)

    async def one(number: int) -> None:
        answers[number] = await calls[number]

    async with anyio.create_task_group() as group:
        for number in range(len(calls)):
            group.start_soon(one, number)
    return answers


def test_concurrent_retries_through_any_vm_run_once_and_get_the_same_answer() -> None:
    async def scenario(cluster: Cluster) -> None:
        vms = [cluster.vm(number) for number in range(4)]
        calls = [vm(call()) for vm in vms for _ in range(3)]
        assert await run_concurrently(*calls) == [ANSWER] * 12
        assert len(cluster.target.runs) == 1

    run(scenario)


@pytest.mark.parametrize("size", [4, MAX_INLINE_BODY_BYTES + 1])
def test_later_retry_through_another_vm_returns_the_first_answer(size: int) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.target.outcome = replace(ANSWER, body=b"x" * size)
        assert await cluster.vm(0)(call()) == cluster.target.outcome
        await anyio.sleep(5)
        assert await cluster.vm(1)(call()) == cluster.target.outcome
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_key_reused_for_another_body_is_rejected_and_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = cluster.vm(0)
        await first(call())
        for vm in (first, cluster.vm(1)):
            assert await vm(call(body=b"other")) == KEY_REUSED
        assert cluster.target.runs == [b"list"]

    run(scenario)


@pytest.mark.parametrize(
    "flaw", [CommitFlaw.LOST_APPLIED, CommitFlaw.LOST_DROPPED, CommitFlaw.REFUSED]
)
def test_call_whose_claim_response_is_lost_runs_at_most_once_and_is_rejected_if_not_run(
    flaw: CommitFlaw,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.table.flaws.append(flaw)
        first = await cluster.vm(0)(call())
        assert first == ANSWER if flaw is CommitFlaw.LOST_APPLIED else first == STORE_DOWN
        await anyio.sleep(5)
        assert await cluster.vm(1)(call()) == ANSWER
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_claim_that_takes_effect_after_its_rejection_leaves_the_key_free() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.table.flaws.append(CommitFlaw.LOST_LATE)
        assert await cluster.vm(0)(call()) == STORE_DOWN
        cluster.table.deliver_late()
        await anyio.sleep(5)
        assert await cluster.vm(1)(call()) == ANSWER
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_call_claimed_by_a_vm_that_died_has_an_unknown_outcome_and_does_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        dead = claim_for_call(call(), "token-of-the-dead", "vm-9", anyio.current_time(), 10.0)
        vm = cluster.vm(0)
        assert (await vm.claims.writer.write(dead.claim_write())).value == "committed"
        assert await vm(call(deadline_s=2.0)) == STILL_RUNNING
        await anyio.sleep(10.0 + CLOCK_MARGIN_S)
        assert await vm(call()) == LOST
        assert await cluster.vm(1)(call()) == LOST
        assert cluster.target.runs == []

    run(scenario)


def test_call_that_was_not_run_leaves_the_key_free() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.target.outcome = NOT_RUN
        assert await cluster.vm(0)(call()) == NOT_RUN
        await anyio.sleep(5)
        cluster.target.outcome = ANSWER
        assert (
            await run_concurrently(*[cluster.vm(number)(call()) for number in (1, 2)])
            == [ANSWER] * 2
        )
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_call_with_unknown_outcome_is_not_run_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.target.outcome = UNKNOWN
        vm = cluster.vm(0)
        assert await vm(call()) == UNKNOWN
        assert await vm(call()) == UNKNOWN
        await anyio.sleep(5)
        assert await cluster.vm(1)(call()) == LOST
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_call_is_rejected_and_not_run_during_a_table_outage() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.table.down = True
        assert await cluster.vm(0)(call()) == STORE_DOWN
        assert cluster.target.runs == []

    run(scenario)


def test_call_run_during_a_table_outage_is_recorded_after_the_outage() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.policy = OutagePolicy.RUN
        cluster.table.down = True
        vm = cluster.vm(0)
        assert await run_concurrently(vm(call()), vm(call())) == [ANSWER] * 2
        cluster.table.down = False
        await anyio.sleep(5)
        assert await cluster.vm(1)(call()) == ANSWER
        assert len(cluster.target.runs) == 1

    run(scenario)


def test_expired_key_is_free_and_its_rows_are_deleted() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.vm(0)(call())
        await cluster.vm(0)(call("swept"))
        await anyio.sleep(CLAIM_TTL_S + 2 * CLOCK_MARGIN_S)
        vm = cluster.vm(1)
        assert await vm(call()) == ANSWER
        assert len(cluster.target.runs) == 3
        await anyio.sleep(5)
        before = len(cluster.table.rows)
        assert await vm.claims.sweep() == 3
        assert len(cluster.table.rows) == before - 3

    run(scenario)


def test_vm_that_cannot_reach_the_committer_commits_its_own_claims() -> None:
    async def scenario(cluster: Cluster) -> None:
        vm = cluster.vm(0)
        vm.claims.writer.zone_vms = lambda: [VmId("vm-unreachable")]
        assert await vm(call()) == ANSWER
        assert cluster.metrics.counters["claim.forward.failed"] >= 1

    run(scenario)


@pytest.mark.bounds
def test_claims_of_a_zone_take_at_most_ten_commits_per_second() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.target.delay_s = 0.01
        committer = cluster.vm(0)
        vms = [committer, *(cluster.vm(n, committer.claims.writer) for n in range(1, 10))]
        began_s, before = anyio.current_time(), cluster.table.commits
        for _ in range(20):
            calls = [
                vm(call(f"{vm.vm_id}-{anyio.current_time()}-{n}")) for vm in vms for n in (0, 1)
            ]
            await run_concurrently(*calls)
        elapsed_s = anyio.current_time() - began_s
        commits = cluster.table.commits - before
        assert len(cluster.target.runs) == 400
        assert commits <= 10 * elapsed_s + 1
        rows = cluster.metrics.counters["claim.commit.rows"]
        assert rows / commits > 4, (rows, commits, elapsed_s)

    run(scenario)


def test_rejections_during_an_outage_evict_no_unrecorded_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("balsamcleat.tasks.claim_keeper.MAX_UNRECORDED", 2)

    async def scenario(cluster: Cluster) -> None:
        cluster.table.down = True
        vm = cluster.vm(0)
        cluster.policy = OutagePolicy.RUN
        assert await vm(call("ran")) == ANSWER
        cluster.policy = OutagePolicy.REFUSE
        for number in range(4):
            assert await vm(call(f"refused {number}")) == STORE_DOWN
        cluster.table.down = False
        await anyio.sleep(5)
        assert await cluster.vm(1)(call("ran")) == ANSWER
        assert len(cluster.target.runs) == 1

    run(scenario)

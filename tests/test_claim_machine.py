"""Stateful test of claims: despite any failure, a call runs at most once until its key expires."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from balsamcleat.decisions.claims import (
    CLAIM_TTL_S,
    CLOCK_MARGIN_S,
    Claim,
    Free,
    OutcomeRecord,
    Owned,
    RecordedState,
    claim_for_call,
    evaluate_claim,
    expired_row_deletions,
)
from balsamcleat.model import CallRequest, RequestId, ServiceName
from balsamcleat.model.ids import TeamName
from balsamcleat.ports import ABSENT, Row, Write

CALL = CallRequest(
    request_id=RequestId("r"),
    service=ServiceName("s"),
    team=TeamName("t"),
    method="POST",
    path="/p",
    body=b"b",
    content_type="text/plain",
    idempotent=False,
    idempotency_key="k",
    deadline_s=0.0,
)
DEADLINE_S = 10.0


class ClaimStateMachine(RuleBasedStateMachine):
    """VMs claim one key in a table whose writes are lost, delayed or duplicated."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, Row] = {}
        self.last_version = 0
        self.wall_s = 0.0
        self.claim_count = 0
        self.delayed_writes: list[Write] = []
        self.waiting: list[Claim] = []
        self.running: list[Claim] = []
        self.run_times_s: list[float] = []

    def apply(self, write: Write) -> bool:
        row = self.rows.get(write.key)
        if (ABSENT if row is None else row.version) != write.expected_version:
            return False
        if write.value is None:
            del self.rows[write.key]
            return True
        self.last_version += 1
        self.rows[write.key] = Row(write.key, write.value, self.last_version)
        return True

    def start_run(self, claim: Claim) -> None:
        self.running.append(claim)
        self.run_times_s.append(self.wall_s)

    @rule(result=st.sampled_from(["answered", "applied, lost", "late"]))
    def send(self, result: str) -> None:
        self.claim_count += 1
        claim = claim_for_call(CALL, f"token-{self.claim_count}", "vm", self.wall_s, DEADLINE_S)
        if result == "late":
            self.delayed_writes.append(claim.claim_write())
        elif self.apply(claim.claim_write()) and result == "answered":
            self.start_run(claim)
            return
        self.waiting.append(claim)

    @precondition(lambda self: self.waiting)
    @rule(position=st.integers(0, 9), is_response_lost=st.booleans())
    def evaluate(self, position: int, is_response_lost: bool) -> None:
        claim = self.waiting[position % len(self.waiting)]
        verdict = evaluate_claim(claim, tuple(self.rows.values()), self.wall_s)
        if isinstance(verdict, Owned):
            self.waiting.remove(claim)
            self.start_run(claim)
        elif isinstance(verdict, Free):
            is_written = self.apply(claim.claim_write(verdict.expected_version))
            if is_written and not is_response_lost:
                self.waiting.remove(claim)
                self.start_run(claim)

    @precondition(lambda self: self.waiting)
    @rule(position=st.integers(0, 9))
    def give_up(self, position: int) -> None:
        """A VM gives up, as in an outage; its claim must not block the key if it arrives late."""
        claim = self.waiting.pop(position % len(self.waiting))
        self.apply(claim.outcome_write(OutcomeRecord(RecordedState.NOT_RUN)))

    @precondition(lambda self: self.delayed_writes)
    @rule(is_duplicated=st.booleans())
    def deliver_delayed_write(self, is_duplicated: bool) -> None:
        self.apply(self.delayed_writes[0] if is_duplicated else self.delayed_writes.pop(0))

    @precondition(lambda self: self.running)
    @rule(state=st.sampled_from(list(RecordedState)), is_outcome_lost=st.booleans())
    def end(self, state: RecordedState, is_outcome_lost: bool) -> None:
        claim = self.running.pop(0)
        if state is RecordedState.NOT_RUN:
            self.run_times_s.pop()
        if not is_outcome_lost:
            record = OutcomeRecord(state, expires_s=claim.record.expires_s)
            self.apply(claim.outcome_write(record))
            self.apply(claim.outcome_write(record))

    @precondition(lambda self: not self.delayed_writes and not self.waiting and not self.running)
    @rule()
    def expire(self) -> None:
        self.wall_s += CLAIM_TTL_S + 2 * CLOCK_MARGIN_S
        self.run_times_s.clear()

    @rule()
    def pass_time(self) -> None:
        self.wall_s += DEADLINE_S

    @rule()
    def sweep(self) -> None:
        for write in expired_row_deletions(tuple(self.rows.values()), self.wall_s):
            self.apply(write)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert len(self.run_times_s) <= 1


TestClaims = ClaimStateMachine.TestCase
TestClaims.settings = settings(derandomize=True, max_examples=60, stateful_step_count=30)


def test_retry_with_another_body_has_a_different_content_digest() -> None:
    first = claim_for_call(CALL, "a", "vm", 0.0, DEADLINE_S)
    other = claim_for_call(replace(CALL, body=b"c"), "b", "vm", 0.0, DEADLINE_S)
    assert first.digest == other.digest
    assert first.record.content != other.record.content

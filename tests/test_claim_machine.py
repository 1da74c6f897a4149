"""Stateful test of claims: whatever fails, a key's call runs at most once until the key expires."""

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


class Claims(RuleBasedStateMachine):
    """VMs claim one key over a table whose writes are lost, late or doubled."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, Row] = {}
        self.versions = 0
        self.wall_s = 0.0
        self.numbers = 0
        self.underway: list[Write] = []
        self.asking: list[Claim] = []
        self.running: list[Claim] = []
        self.ran_since_expiry: list[float] = []

    def apply(self, write: Write) -> bool:
        row = self.rows.get(write.key)
        if (ABSENT if row is None else row.version) != write.expected_version:
            return False
        if write.value is None:
            del self.rows[write.key]
            return True
        self.versions += 1
        self.rows[write.key] = Row(write.key, write.value, self.versions)
        return True

    def begin(self, claim: Claim) -> None:
        self.running.append(claim)
        self.ran_since_expiry.append(self.wall_s)

    @rule(fate=st.sampled_from(["answered", "applied, lost", "late"]))
    def send(self, fate: str) -> None:
        self.numbers += 1
        claim = claim_for_call(CALL, f"token-{self.numbers}", "vm", self.wall_s, DEADLINE_S)
        if fate == "late":
            self.underway.append(claim.claim_write())
        elif self.apply(claim.claim_write()) and fate == "answered":
            self.begin(claim)
            return
        self.asking.append(claim)

    @precondition(lambda self: self.asking)
    @rule(which=st.integers(0, 9), lost=st.booleans())
    def look(self, which: int, lost: bool) -> None:
        claim = self.asking[which % len(self.asking)]
        verdict = evaluate_claim(claim, tuple(self.rows.values()), self.wall_s)
        if isinstance(verdict, Owned):
            self.asking.remove(claim)
            self.begin(claim)
        elif isinstance(verdict, Free):
            written = self.apply(claim.claim_write(verdict.expected_version))
            if written and not lost:
                self.asking.remove(claim)
                self.begin(claim)

    @precondition(lambda self: self.asking)
    @rule(which=st.integers(0, 9))
    def refuse(self, which: int) -> None:
        """A VM gives up asking, as in an outage; its late claim must not hold the key."""
        claim = self.asking.pop(which % len(self.asking))
        self.apply(claim.outcome_write(OutcomeRecord(RecordedState.NOT_RUN)))

    @precondition(lambda self: self.underway)
    @rule(again=st.booleans())
    def arrive_late(self, again: bool) -> None:
        self.apply(self.underway[0] if again else self.underway.pop(0))

    @precondition(lambda self: self.running)
    @rule(state=st.sampled_from(list(RecordedState)), lost=st.booleans())
    def end(self, state: RecordedState, lost: bool) -> None:
        claim = self.running.pop(0)
        if state is RecordedState.NOT_RUN:
            self.ran_since_expiry.pop()
        if not lost:
            record = OutcomeRecord(state, expires_s=claim.record.expires_s)
            self.apply(claim.outcome_write(record))
            self.apply(claim.outcome_write(record))

    @precondition(lambda self: not self.underway and not self.asking and not self.running)
    @rule()
    def expire(self) -> None:
        self.wall_s += CLAIM_TTL_S + 2 * CLOCK_MARGIN_S
        self.ran_since_expiry.clear()

    @rule()
    def pass_time(self) -> None:
        self.wall_s += DEADLINE_S

    @rule()
    def sweep(self) -> None:
        for write in expired_row_deletions(tuple(self.rows.values()), self.wall_s):
            self.apply(write)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert len(self.ran_since_expiry) <= 1


TestClaims = Claims.TestCase
TestClaims.settings = settings(derandomize=True, max_examples=60, stateful_step_count=30)


def test_a_resend_with_another_body_is_told_apart() -> None:
    first = claim_for_call(CALL, "a", "vm", 0.0, DEADLINE_S)
    other = claim_for_call(replace(CALL, body=b"c"), "b", "vm", 0.0, DEADLINE_S)
    assert first.digest == other.digest
    assert first.record.content != other.record.content

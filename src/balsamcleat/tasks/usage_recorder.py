"""Records when targets began to run live requests, for the usage of their teams.

A request whose only attempts failed counts if one of them may have run: its target did not state
otherwise, and the whole request had arrived at the target. A request that is lost on a broken link
has not arrived. A stream counts once its first event arrives.
"""

from result import Ok, Result

from balsamcleat.decisions.run_start import RunStartEstimator
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Response
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import parse_response_metadata
from balsamcleat.tasks.live_call import LiveCall
from balsamcleat.tasks.target_exchange import TargetExchange
from balsamcleat.tasks.usage_counter import UsageCounter

__all__ = ["AttemptRecord", "UsageRecorder"]

Outcome = Result[Response, AttemptFailedError]


class UsageRecorder:
    """Records the calls of this VM; does nothing for calls without a team.

    Args:
        counter: Counts the requests; None if usage is not reported.
    """

    def __init__(self, counter: UsageCounter | None) -> None:
        self.counter = counter
        self.estimator = RunStartEstimator()

    def watch(self, call: LiveCall, replica: Replica, exchange: TargetExchange) -> "AttemptRecord":
        """Return the record of an attempt that begins now."""
        record = AttemptRecord(self, call, replica, exchange)
        if self.counter is not None and call.team is not None:
            exchange.on_send = record.record_sent
        return record

    def record_first_event(self, call: LiveCall) -> None:
        """Count a stream whose first event has arrived."""
        if self.counter is not None and call.team is not None:
            self.counter.record_started(call.team, self.counter.clock.steady_s())

    def record_end(self, call: LiveCall) -> None:
        """Count a call that has ended, if a target ran it."""
        if self.counter is not None:
            self.counter.close_call(call.runs)


class AttemptRecord:
    """Record of one attempt.

    Args:
        recorder: Recorder of this VM.
        call: Call that the attempt belongs to.
        replica: Target of the attempt.
        exchange: Exchange with the target.
    """

    def __init__(
        self, recorder: UsageRecorder, call: LiveCall, replica: Replica, exchange: TargetExchange
    ) -> None:
        self.recorder = recorder
        self.call = call
        self.replica = replica
        self.exchange = exchange

    def record_sent(self) -> None:
        """Record that the request is sent now."""
        counter, call = self.recorder.counter, self.call
        assert counter is not None and call.team is not None
        call.runs.sent_s[id(self)] = counter.clock.steady_s()
        counter.open_call(call.runs, call.team)

    def record_end(self, outcome: Outcome | None) -> None:
        """Record the end of the attempt, before the connection is released.

        Args:
            outcome: Outcome of the attempt; None if it was cancelled.
        """
        sent_s = self.call.runs.sent_s.get(id(self))
        if sent_s is not None:
            self.call.runs.record_end(id(self), self.started_s(sent_s, outcome))

    def started_s(self, sent_s: float, outcome: Outcome | None) -> float | None:
        """Return when the target began to run the request, or None if it did not."""
        if isinstance(outcome, Ok):
            return self.answered_start_s(sent_s)
        if outcome is not None and not outcome.err_value.perhaps_sent:
            return None
        return sent_s if self.exchange.has_arrived() else None

    def answered_start_s(self, sent_s: float) -> float:
        """Return when a target began to run a request that it answered now."""
        counter = self.recorder.counter
        assert counter is not None
        metadata = parse_response_metadata(self.exchange.status, self.exchange.headers)
        return self.recorder.estimator.start_s(
            self.replica.service,
            sent_s,
            counter.clock.steady_s(),
            metadata.waiting_count,
            self.replica.slots,
        )

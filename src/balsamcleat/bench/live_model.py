"""Entry VMs, engines and callers in virtual time: the model for live calls under load."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from balsamcleat.bench.engine_model import EngineJob, EngineModel
from balsamcleat.bench.events import EventHandle, VirtualTime
from balsamcleat.bench.live_baselines import Chooser
from balsamcleat.bench.live_workload import LiveCall, LiveShape, calls
from balsamcleat.decisions.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Queued,
    Rejection,
    Ticket,
)
from balsamcleat.decisions.retry import RetryBudget, RetryPolicy
from balsamcleat.decisions.routing import RouteQuery
from balsamcleat.model import (
    AttemptOutcome,
    CacheEvent,
    LoadReport,
    Priority,
    ServiceName,
    TargetId,
    TargetInfo,
    TeamName,
    ZoneName,
)

__all__ = ["SERVICE", "ZONE", "Fault", "LiveFigures", "LiveModel", "NodeParts"]

SERVICE = ServiceName("engines")
ZONE = ZoneName("zone-a")
TEAM = TeamName("callers")
# How soon a failing engine answers with its failure.
FAILURE_S = 0.02
TICK_INTERVAL_S = 0.1
# Blocks below belong to shared prefixes.
SHARED_BLOCKS_END = 1_000_000


@dataclass(frozen=True, slots=True)
class Fault:
    """From ``start_s`` to ``end_s`` each attempt at the first ``engines`` engines fails."""

    engines: int = 0
    start_s: float = 0.0
    end_s: float = 0.0

    def hits(self, engine: int, now_s: float) -> bool:
        """Return whether an attempt at the engine fails now."""
        return engine < self.engines and self.start_s <= now_s < self.end_s


@dataclass(frozen=True, slots=True)
class NodeParts:
    """What one entry VM decides with; ``admission`` is None where everything is admitted.

    Attributes:
        chooser: Chooses targets.
        admission: Admits calls, or None.
        tick: Called at a fixed interval with the time.
        events: Takes cache events, or None.
    """

    chooser: Chooser
    admission: Admission | None
    tick: Callable[[float], None] | None = None
    events: Callable[[TargetId, CacheEvent], None] | None = None


@dataclass
class LiveFigures:
    """What came of one run.

    Attributes:
        first_token_s: Times to the first token of whole answers, in seconds.
        arrived: Calls that arrived.
        whole: Whole answers in time.
        refused: Calls refused with "not run".
        failed: Calls that failed otherwise or were left by their callers.
        attempts: Attempts sent to engines.
        good_tokens: Tokens of whole answers that ended while calls arrived.
        wasted_tokens: Tokens decoded for attempts that were cut or cancelled.
        cached_blocks: Shared prefix blocks found in the engines' caches.
        shared_blocks: Shared prefix blocks asked for.
        broken: Promises broken: calls answered twice, or run after "not run".
    """

    first_token_s: list[float] = field(default_factory=list)
    arrived: int = 0
    whole: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    good_tokens: float = 0.0
    wasted_tokens: float = 0.0
    cached_blocks: int = 0
    shared_blocks: int = 0
    broken: int = 0

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the time to first token, in seconds."""
        ordered = sorted(self.first_token_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0

    def amplification(self) -> float:
        """Return attempts per call that was tried at all."""
        tried = self.arrived - self.refused
        return self.attempts / tried if tried else 0.0

    def hit_share(self) -> float:
        """Return the share of shared prefix blocks found in a cache."""
        return self.cached_blocks / self.shared_blocks if self.shared_blocks else 0.0

    def wasted_share(self) -> float:
        """Return the share of decoded tokens that were part of no whole answer."""
        made = self.good_tokens + self.wasted_tokens
        return self.wasted_tokens / made if made else 0.0


@dataclass(slots=True, eq=False)
class CallState:
    """A call on its way through the model."""

    call: LiveCall
    ticket: object = None
    attempt: int = 0
    tried: set[TargetId] = field(default_factory=set)
    job: EngineJob | None = None
    engine: int = -1
    sent_s: float = 0.0
    first_s: float | None = None
    ended: bool = False
    timer: EventHandle | None = None


class LiveModel:
    """Runs one experiment.

    Args:
        shape: The system and its load.
        parts: Makes what an entry VM decides with, from the targets and a generator.
        fault: What fails.
        seed: Gives the same run again.
    """

    def __init__(
        self,
        shape: LiveShape,
        parts: Callable[[tuple[TargetInfo, ...], random.Random], NodeParts],
        fault: Fault,
        seed: int,
    ) -> None:
        self.shape = shape
        self.fault = fault
        self.seed = seed
        self.time = VirtualTime()
        self.figures = LiveFigures()
        self.engines = [EngineModel(self.time, shape.cost) for _ in range(shape.engines)]
        self.targets = tuple(
            TargetInfo(TargetId(f"engine-{number}"), SERVICE, ZONE, f"10.0.0.{number}:80")
            for number in range(shape.engines)
        )
        self.numbers = {target.target_id: n for n, target in enumerate(self.targets)}
        self.nodes = [
            parts(self.targets, random.Random(f"{seed}|node|{number}"))
            for number in range(shape.nodes)
        ]
        self.retries = [
            RetryPolicy(RetryBudget(), random.Random(f"{seed}|retry|{number}"))
            for number in range(shape.nodes)
        ]
        self.waiting: dict[object, CallState] = {}
        self.event_numbers = [0] * shape.engines
        self.loss = random.Random(f"{seed}|loss")
        self.warmup_s = self.duration_s = self.end_s = 0.0

    def run(self, rate_per_s: float, duration_s: float, warmup_s: float = 0.0) -> LiveFigures:
        """Run arrivals for a time and let the last ones finish.

        Args:
            rate_per_s: Calls a second.
            duration_s: How long calls arrive, in virtual seconds.
            warmup_s: Calls that arrive before are not counted.
        """
        self.end_s = duration_s + self.shape.deadline_s
        for call in calls(self.shape, rate_per_s, duration_s, random.Random(f"{self.seed}|calls")):
            self.time.at(call.arrives_s, lambda call=call: self.arrive(call))  # type: ignore[misc]
        for number in range(self.shape.engines):
            self.time.at(
                self.shape.report_interval_s * (number + 1) / self.shape.engines,
                lambda number=number: self.measure(number),  # type: ignore[misc]
            )
        self.warmup_s, self.duration_s = warmup_s, duration_s
        self.tick()
        self.time.run(self.end_s)
        return self.figures

    def counted(self, call: LiveCall) -> bool:
        """Return whether the call came after the warm-up."""
        return call.arrives_s >= self.warmup_s

    def tick(self) -> None:
        """Let the nodes do what they do at intervals."""
        for node in self.nodes:
            if node.tick is not None:
                node.tick(self.time.now_s)
        if self.time.now_s < self.end_s:
            self.time.after(TICK_INTERVAL_S, self.tick)

    def measure(self, number: int) -> None:
        """Publish an engine's load and cache events; both arrive late."""
        engine, target_id = self.engines[number], self.targets[number].target_id
        used = len(engine.cache) / max(1, engine.cost.cache_blocks)
        load = LoadReport(
            engine.running, engine.waiting_count(), engine.cost.slots, used, self.time.now_s
        )
        self.time.after(self.shape.report_lag_s, lambda: self.deliver_report(target_id, load))
        if self.time.now_s < self.end_s:
            self.time.after(self.shape.report_interval_s, lambda: self.measure(number))

    def deliver_report(self, target_id: TargetId, load: LoadReport) -> None:
        """Give a report to all nodes."""
        for node in self.nodes:
            node.chooser.report(target_id, load)

    def deliver_events(self, target_id: TargetId, events: list[CacheEvent]) -> None:
        """Give cache events to all nodes."""
        for node in self.nodes:
            if node.events is not None:
                for event in events:
                    node.events(target_id, event)

    def arrive(self, call: LiveCall) -> None:
        """A call reaches its node."""
        state = CallState(call)
        if self.counted(call):
            self.figures.arrived += 1
        admission = self.nodes[call.node].admission
        if admission is not None:
            ask = AdmissionRequest(SERVICE, TEAM, Priority.LIVE, call.deadline_s)
            decision = admission.decide(ask, self.time.now_s)
            if isinstance(decision, Rejection):
                self.refuse(state)
                return
            state.ticket = decision.ticket
            state.timer = self.time.at(call.deadline_s, lambda: self.abandon(state))
            if isinstance(decision, Queued):
                self.waiting[decision.ticket] = state
                return
        else:
            state.timer = self.time.at(call.deadline_s, lambda: self.abandon(state))
        self.send(state)

    def refuse(self, state: CallState) -> None:
        """A call is refused as "not run"."""
        if state.attempt:
            self.figures.broken += 1
        if self.counted(state.call):
            self.figures.refused += 1
        self.end(state)

    def send(self, state: CallState) -> None:
        """Send one attempt, or give the call up."""
        if state.ended:
            return
        node = self.nodes[state.call.node]
        query = RouteQuery(SERVICE, state.call.blocks, exclude=frozenset(state.tried))
        target = node.chooser.choose(query)
        if target is None:
            self.fail(state)
            return
        number = self.numbers[target.target_id]
        state.attempt += 1
        state.tried.add(target.target_id)
        state.engine, state.sent_s = number, self.time.now_s
        if self.counted(state.call):
            self.figures.attempts += 1
        node.chooser.started(target.target_id)
        if self.fault.hits(number, self.time.now_s):
            self.time.after(FAILURE_S, lambda: self.cut(state))
            return
        state.job = self.job(state, number)
        self.engines[number].submit(state.job)

    def job(self, state: CallState, number: int) -> EngineJob:
        """Return the engine's side of an attempt."""
        return EngineJob(
            state.call.blocks,
            state.call.tokens,
            on_first=lambda: self.first(state),
            on_done=lambda: self.done(state, number),
            on_cut=lambda: self.cut(state),
        )

    def first(self, state: CallState) -> None:
        """The first token is there."""
        state.first_s = self.time.now_s
        node, call = self.nodes[state.call.node], state.call
        if node.admission is not None and isinstance(state.ticket, Ticket):
            node.admission.record_first_byte(state.ticket, self.time.now_s, state.sent_s)
        job, shared = state.job, call.blocks[0] < SHARED_BLOCKS_END
        if shared and job is not None and self.counted(call):
            self.figures.shared_blocks += self.shape.prefix_blocks
            self.figures.cached_blocks += min(job.cached_blocks, self.shape.prefix_blocks)
        self.publish(state)

    def publish(self, state: CallState) -> None:
        """Let the engine tell what it has stored; some of it is lost on the way."""
        target_id = self.targets[state.engine].target_id
        events: list[CacheEvent] = []
        cached = state.job.cached_blocks if state.job is not None else 0
        for block in state.call.blocks[cached:]:
            self.event_numbers[state.engine] += 1
            if self.loss.random() >= self.shape.event_loss:
                events.append(CacheEvent(self.event_numbers[state.engine], block, True))
        self.time.after(self.shape.event_lag_s, lambda: self.deliver_events(target_id, events))

    def done(self, state: CallState, number: int) -> None:
        """The whole answer is there."""
        if state.ended:
            self.figures.broken += 1
            return
        self.nodes[state.call.node].chooser.finished(
            self.targets[number].target_id,
            AttemptOutcome.SUCCEEDED,
            self.time.now_s - state.sent_s,
        )
        self.retries[state.call.node].budget.record_success()
        if self.warmup_s <= self.time.now_s <= self.duration_s:
            self.figures.good_tokens += state.call.tokens
        if self.counted(state.call) and state.first_s is not None:
            self.figures.whole += 1
            self.figures.first_token_s.append(state.first_s - state.call.arrives_s)
        self.end(state)

    def cut(self, state: CallState) -> None:
        """An attempt failed."""
        if state.ended:
            return
        self.leave_engine(state, AttemptOutcome.FAILED)
        delay_s = self.retries[state.call.node].retry_delay_s(
            state.attempt,
            repeatable=True,
            remaining_s=state.call.deadline_s - self.time.now_s,
        )
        if delay_s is None:
            self.fail(state)
        else:
            self.time.after(delay_s, lambda: self.send(state))

    def leave_engine(self, state: CallState, outcome: AttemptOutcome) -> None:
        """End the attempt in flight, if there is one."""
        if state.engine < 0:
            return
        number, state.engine = state.engine, -1
        if state.job is not None and not state.job.ended:
            self.engines[number].advance()
            if self.warmup_s <= self.time.now_s <= self.duration_s:
                self.figures.wasted_tokens += state.job.decoded(self.engines[number].progress)
            self.engines[number].cancel(state.job)
        self.nodes[state.call.node].chooser.finished(self.targets[number].target_id, outcome)

    def abandon(self, state: CallState) -> None:
        """The caller goes away at its deadline."""
        if state.ended:
            return
        node = self.nodes[state.call.node]
        if state.ticket in self.waiting and node.admission is not None:
            del self.waiting[state.ticket]
            node.admission.cancel(cast(Ticket, state.ticket))
            self.refuse(state)
            return
        self.leave_engine(state, AttemptOutcome.ABANDONED)
        self.fail(state)

    def fail(self, state: CallState) -> None:
        """A call ends without a whole answer."""
        if self.counted(state.call):
            self.figures.failed += 1
        self.end(state)

    def end(self, state: CallState) -> None:
        """Free the call's place and let the next one go."""
        if state.ended:
            self.figures.broken += 1
            return
        state.ended = True
        if state.timer is not None:
            state.timer.cancel()
        admission = self.nodes[state.call.node].admission
        ticket = state.ticket
        if admission is None or not isinstance(ticket, Ticket) or not ticket.is_admitted:
            return
        for decision in admission.release(ticket, self.time.now_s):
            waiter = self.waiting.pop(decision.ticket, None)
            if waiter is None:
                continue
            if isinstance(decision, Admitted):
                self.send(waiter)
            else:
                self.refuse(waiter)

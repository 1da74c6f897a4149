"""A model of trainers, targets and the platform's orders, to replay the scaling of targets.

Time advances in ticks. The platform starts targets only when it gets an order, so a lost target is
missing until an order is repeated; it picks the targets to release at random.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from balsamcleat.decisions.scaling_types import (
    PlannedOrder,
    PoolCounts,
    PoolOrder,
    ScalingView,
    ZoneOrders,
)
from balsamcleat.decisions.slot_need import determine_need
from balsamcleat.decisions.step_history import StepHistory, StepSighting
from balsamcleat.decisions.target_mix import Pool
from balsamcleat.decisions.target_scaling import TargetScaler
from balsamcleat.model import StepId, ZoneName
from balsamcleat.model.routing import AutoscaleSpec
from balsamcleat.ports.duties import DutyOutcome

TICK_S = 0.1
DECISION_TICKS = 3
START_S = 1000.0
SLOTS = 8
STARTUP_S = 4.0
LOAD_S = 1.0
NOTICE_S = 2.0
DUE_S = 7.5
EXPIRY_S = 12.0
INTERVAL_S = 4.0
EVENT_S = 0.05
ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
PRICES = {ZoneName("a"): 1.0, ZoneName("b"): 0.8, ZoneName("c"): 1.25}
# Groups, samples per group and mean events of the steps of three trainers.
TRAINERS = ((5, 16, 12), (12, 8, 20), (6, 16, 20))


def autoscale(max_targets: int = 15, price: float = 0.18) -> AutoscaleSpec:
    return AutoscaleSpec(1, max_targets, STARTUP_S, price, PRICES)


@dataclass(eq=False)
class Target:
    """A simulated target."""

    pool: Pool
    ready_s: float
    pace: float
    running: list["Sample"] = field(default_factory=list)
    draining_since_s: float | None = None
    taken_away_s: float | None = None

    def is_ready(self, now_s: float) -> bool:
        return now_s >= self.ready_s and self.draining_since_s is None

    def is_loaded(self, now_s: float) -> bool:
        return self.is_ready(now_s) and now_s >= self.ready_s + LOAD_S


@dataclass(eq=False)
class Sample:
    """A simulated sample; the hint is off by a factor."""

    group: int
    left_s: float
    hint_s: float


@dataclass(eq=False)
class Step:
    """A simulated step."""

    step_id: StepId
    model: str
    submitted_s: float
    samples: list[Sample]
    groups: int
    finished_s: float | None = None
    waiting: list[Sample] = field(default_factory=list)

    def complete_groups(self) -> int:
        open_groups = {sample.group for sample in self.samples if sample.left_s > 0.0}
        return self.groups - len(open_groups)

    def duration_s(self, now_s: float) -> float:
        return (now_s if self.finished_s is None else self.finished_s) - self.submitted_s


@dataclass
class ScalingWorld:
    """Trainers, targets, platform and, unless ``is_scaled`` is false, the scaler of one service."""

    seed: int = 1
    initial: int = 15
    spec: AutoscaleSpec = field(default_factory=autoscale)
    is_scaled: bool = True
    trainers: tuple[tuple[int, int, int], ...] = TRAINERS
    events: list[tuple[float, Callable[["ScalingWorld"], None]]] = field(default_factory=list)
    now_s: float = START_S
    ticks: int = 0
    targets: list[Target] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    open_steps: dict[str, Step] = field(default_factory=dict)
    next_step_s: dict[str, float] = field(default_factory=dict)
    rows: dict[ZoneName, ZoneOrders] = field(default_factory=dict)
    sent: list[tuple[float, PlannedOrder, DutyOutcome]] = field(default_factory=list)
    cost: float = 0.0
    no_targets: set[Pool] = field(default_factory=set)
    forced_outcomes: list[tuple[DutyOutcome, bool]] = field(default_factory=list)
    listed: Callable[[Target], bool] = lambda _: True

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.history = StepHistory()
        self.scaler = TargetScaler()
        for zone in ZONES:
            for _ in range(self.initial):
                self.start_target(Pool(zone, False), self.now_s - 10.0)
        for number, _ in enumerate(self.trainers):
            self.next_step_s[f"m{number}"] = self.now_s + 1.3 * number

    def start_target(self, pool: Pool, ready_s: float) -> None:
        self.targets.append(Target(pool, ready_s, self.rng.uniform(0.8, 1.2)))

    def run(self, seconds: float) -> "ScalingWorld":
        """Advance the time; events are due at seconds after the start of the world."""
        for _ in range(round(seconds / TICK_S)):
            self.ticks += 1
            self.now_s = START_S + self.ticks * TICK_S
            for due_s, event in [item for item in self.events if item[0] <= self.now_s - START_S]:
                self.events.remove((due_s, event))
                event(self)
            self.run_targets()
            self.run_trainers()
            self.place_samples()
            if self.is_scaled and self.ticks % DECISION_TICKS == 0:
                self.run_holder()
            self.cost += TICK_S * sum(self.price(target.pool) for target in self.targets)
        return self

    def price(self, pool: Pool) -> float:
        factor = self.spec.reclaimable_price if pool.reclaimable else 1.0
        return factor * self.spec.zone_prices[pool.zone]

    def run_targets(self) -> None:
        """Run the samples, and remove the targets that are drained or taken away."""
        for target in list(self.targets):
            target.pace = min(1.4, max(0.7, target.pace + self.rng.uniform(-0.05, 0.05)))
            for sample in target.running:
                sample.left_s -= TICK_S / target.pace
            target.running = [sample for sample in target.running if sample.left_s > 0.0]
            is_drained = target.draining_since_s is not None and not target.running
            is_taken = target.taken_away_s is not None and self.now_s >= target.taken_away_s
            if is_taken or (is_drained and target.taken_away_s is None):
                self.remove(target)

    def remove(self, target: Target) -> None:
        """Remove a target; its samples are resumed elsewhere after their prompt is read again."""
        self.targets.remove(target)
        for sample in target.running:
            sample.left_s += 0.2
            for step in self.open_steps.values():
                if sample in step.samples:
                    step.waiting.append(sample)

    def run_trainers(self) -> None:
        """End and submit steps; a trainer trains between the two, and keeps to its schedule."""
        for number, (groups, size, mean_events) in enumerate(self.trainers):
            model = f"m{number}"
            step = self.open_steps.get(model)
            if step is not None:
                wanted = -(-9 * step.groups // 10)
                is_done = step.complete_groups() >= wanted
                if not is_done and self.now_s - step.submitted_s < EXPIRY_S:
                    continue
                step.finished_s = self.now_s
                del self.open_steps[model]
                trained_s = self.now_s + self.rng.uniform(0.5, 1.0)
                self.next_step_s[model] = max(self.next_step_s[model], trained_s)
            elif self.now_s >= self.next_step_s[model]:
                self.submit(model, groups, size, mean_events)

    def submit(self, model: str, groups: int, size: int, mean_events: int) -> None:
        samples = []
        for group in range(groups):
            for _ in range(size):
                events = mean_events / 1.4 * self.rng.uniform(0.8, 1.2)
                hint = events * self.rng.uniform(0.5, 2.0)
                if self.rng.random() < 0.1:
                    events *= 5.0
                samples.append(Sample(group, EVENT_S * events, hint))
        step = Step(StepId(f"{model}-{len(self.steps)}"), model, self.now_s, samples, groups)
        step.waiting = sorted(samples, key=lambda sample: -sample.hint_s)
        self.steps.append(step)
        self.open_steps[model] = step
        self.next_step_s[model] = max(self.next_step_s[model] + INTERVAL_S, self.now_s)

    def place_samples(self) -> None:
        for step in sorted(self.open_steps.values(), key=lambda step: step.submitted_s):
            loaded = [t for t in self.targets if t.is_loaded(self.now_s) and len(t.running) < SLOTS]
            while step.waiting and loaded:
                target = min(loaded, key=lambda target: (len(target.running), target.pace))
                target.running.append(step.waiting.pop(0))
                if len(target.running) >= SLOTS:
                    loaded.remove(target)
        open_samples = {id(s) for step in self.open_steps.values() for s in step.samples}
        for target in self.targets:
            target.running = [sample for sample in target.running if id(sample) in open_samples]

    def pool_targets(self, pool: Pool) -> list[Target]:
        return [target for target in self.targets if target.pool == pool]

    def counts(self, pool: Pool) -> PoolCounts:
        targets = [target for target in self.pool_targets(pool) if self.listed(target)]
        draining = [target for target in targets if target.draining_since_s is not None]
        return PoolCounts(
            ready=sum(target.is_ready(self.now_s) for target in targets),
            loaded=sum(target.is_loaded(self.now_s) for target in targets),
            draining=len(draining),
            are_leaving=any(target.taken_away_s is not None for target in draining),
        )

    def view(self) -> ScalingView:
        pools = [Pool(zone, kind) for zone in ZONES for kind in (False, True)]
        counts = {pool: self.counts(pool) for pool in pools}
        for zone in ZONES:
            if zone not in self.rows:
                ready = {kind: counts[Pool(zone, kind)].ready for kind in (False, True)}
                self.rows[zone] = ZoneOrders(PoolOrder(ready[False]), PoolOrder(ready[True]))
        loaded = sum(count.loaded for count in counts.values())
        models = [f"m{number}" for number in range(len(self.trainers))]
        return ScalingView(
            spec=self.spec,
            slots_per_target=SLOTS,
            need=determine_need(self.history, models, self.now_s),
            zones=dict(self.rows),
            counts=counts,
            holders=dict.fromkeys(models, loaded),
        )

    def run_holder(self) -> None:
        """Observe the steps, and send at most one order."""
        self.history.observe(
            (
                StepSighting(
                    step.step_id,
                    step.model,
                    len(step.samples),
                    step.submitted_s,
                    DUE_S,
                    step.finished_s is not None,
                )
                for step in self.steps[-30:]
            ),
            self.now_s,
        )
        order = self.scaler.decide(self.view(), self.now_s)
        if order is None:
            return
        self.rows[order.pool.zone] = order.zone_orders
        outcome = self.send(order)
        self.sent.append((self.now_s, order, outcome))
        ready = self.counts(order.pool).ready
        self.rows[order.pool.zone] = self.scaler.record_outcome(order, outcome, ready, self.now_s)

    def replace_holder(self) -> None:
        """Let another VM go on that knows the steps and the rows only."""
        self.scaler = TargetScaler()
        self.scaler.take_over(self.rows)

    def send(self, order: PlannedOrder) -> DutyOutcome:
        if self.forced_outcomes:
            outcome, takes_effect = self.forced_outcomes.pop(0)
            if takes_effect:
                self.apply(order)
            return outcome
        return self.apply(order)

    def apply(self, order: PlannedOrder) -> DutyOutcome:
        present = [t for t in self.pool_targets(order.pool) if t.draining_since_s is None]
        if order.count > len(present) and order.pool in self.no_targets:
            return DutyOutcome.UNAVAILABLE
        for _ in range(order.count - len(present)):
            self.start_target(order.pool, self.now_s + STARTUP_S)
        for target in self.rng.sample(present, max(0, len(present) - order.count)):
            target.draining_since_s = self.now_s
        return DutyOutcome.ACCEPTED

    def reclaim(self, zone: ZoneName) -> None:
        """Announce that all reclaimable targets of a zone are taken away."""
        pool = Pool(zone, True)
        self.no_targets.add(pool)
        for target in self.pool_targets(pool):
            target.draining_since_s = self.now_s
            target.taken_away_s = self.now_s + NOTICE_S

    def lose(self, pool: Pool, count: int) -> None:
        """Lose targets for good, without notice."""
        for target in self.pool_targets(pool)[:count]:
            self.remove(target)

    def in_time_share(self) -> float:
        """Return the share of steps that were complete when they were due."""
        judged = [step for step in self.steps if self.now_s - step.submitted_s > EXPIRY_S]
        in_time = [step for step in judged if step.duration_s(self.now_s) <= DUE_S]
        return len(in_time) / len(judged)

    def mean_duration_s(self) -> float:
        durations = [step.duration_s(self.now_s) for step in self.steps if step.finished_s]
        return sum(durations) / len(durations)

    def releases(self) -> list[tuple[float, PlannedOrder]]:
        return [(at_s, order) for at_s, order, _ in self.sent if order.count < order.before]

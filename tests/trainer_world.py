"""Replay of several trainers that share engines through several VMs, in virtual time.

The decisions under test are the real ones. Engines, trainers and the age of what VMs know follow
the example deployment on a calm day: 22 engines with 8 slots, of which 7 are a quarter slower than
the others, and three trainers that submit a step every 4 s.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field

from balsamcleat.decisions.engine_ranking import EngineView, SampleRequirements
from balsamcleat.decisions.late_steps import StepWork, expected_ends_s, order_groups
from balsamcleat.decisions.replica_stats import ReplicaStats
from balsamcleat.decisions.sample_placement import (
    RunningSample,
    WaitingSample,
    find_moves,
    place_samples,
)
from balsamcleat.decisions.step_order import expected_remaining_tokens, rank_samples
from balsamcleat.decisions.weight_rollout import (
    EngineWeights,
    ModelDemand,
    max_concurrent_loads,
    next_load_orders,
)
from balsamcleat.model import StepId, TargetId, WeightVersion
from balsamcleat.model.rollout import RolloutStep, SampleTask

__all__ = [
    "CALM_RATIOS",
    "UNEVEN_RATIOS",
    "Policy",
    "TrainerShape",
    "TrainerWorld",
    "three_trainers",
]

TICK_S = 0.02
EVENT_S = 0.0475
SLOW_MACHINE_RATIO = 1.3
# Ratios that the pace of an engine takes in turn: on machines that are rarely disturbed, and on
# machines whose other workloads change the pace by a factor of two.
CALM_RATIOS = (1.0,) * 10 + (1.02,) * 8 + (1.05,) * 5 + (2.0,)
UNEVEN_RATIOS = (0.9, 1.0, 1.0, 1.05, 1.3, 2.0)
TOKENS_PER_EVENT = 60.0
DUE_S = 7.5
LATE_S = 12.0
LATE_VALUE = 1.0 / 3.0
SUBMISSION_INTERVAL_S = 4.0
LOAD_S = 0.9
MOVE_INTERVAL_S = 0.1
# Time in which an order, a report or a row reaches the other VMs.
DIRECTORY_AGE_S = 0.3
# Time in which an engine reads a prompt, or the prompt and the text of a resumed sample.
PROMPT_S = 0.03
RESUMED_PROMPT_S = 0.06
QUEUE_LIMIT = 2


@dataclass(frozen=True, slots=True)
class TrainerShape:
    """Steps of a trainer; ``mean_events`` and ``max_events`` describe the lengths of samples."""

    model: str
    groups: int
    size: int
    mean_events: float
    max_events: int

    @property
    def required_groups(self) -> int:
        return math.ceil(0.9 * self.groups)


def three_trainers() -> tuple[TrainerShape, ...]:
    """Return the trainers of the example deployment."""
    return (
        TrainerShape("a", 5, 16, 12.0, 85),
        TrainerShape("b", 12, 8, 20.0, 147),
        TrainerShape("c", 6, 16, 20.0, 147),
    )


@dataclass(frozen=True, slots=True)
class Policy:
    """Which decisions the replay uses; the defaults are those of the previous build."""

    pinned_moves: bool = False
    pace_reported: bool = False
    groups_in_turn: bool = False


@dataclass(eq=False)
class Engine:
    """An engine with its loads, its running samples and its changing pace."""

    target_id: TargetId
    machine_ratio: float
    versions: dict[str, int]
    ratio: float = 1.0
    changes_at_s: float = 0.0
    loading: tuple[str, int, float] | None = None
    running: list["Sample"] = field(default_factory=list)
    queue: list["Sample"] = field(default_factory=list)


@dataclass(eq=False)
class Sample:
    """A sample of a step, with the events that it lacks at its engine."""

    task: SampleTask
    events: int
    step: "Step"
    done: float = 0.0
    prompt_s: float = 0.0
    engine: Engine | None = None
    goal: TargetId | None = None
    retry_at_s: float = 0.0
    began_s: float = 0.0
    began_done: float = 0.0
    ended_s: float | None = None


@dataclass(eq=False)
class Step:
    """A submitted step and its owner."""

    step: RolloutStep
    shape: TrainerShape
    owner: "Owner"
    submitted_s: float
    carried: tuple[str, ...] = ()
    samples: dict[str, Sample] = field(default_factory=dict)

    def group_ends_s(self) -> list[float]:
        """Return the times from the submission after which groups were complete, in order."""
        groups: dict[str, list[Sample]] = {}
        for sample in self.samples.values():
            groups.setdefault(sample.task.group, []).append(sample)
        return sorted(
            max(item.ended_s or 0.0 for item in group) - self.submitted_s
            for group in groups.values()
            if all(item.ended_s is not None for item in group)
        )


@dataclass(eq=False)
class Owner:
    """A VM that owns steps, with its own measurements of the engines."""

    stats: dict[TargetId, ReplicaStats]
    steps: list[Step] = field(default_factory=list)
    moved_at_s: float = 0.0


@dataclass(eq=False)
class Trainer:
    """A trainer that submits steps one after the other, on a schedule."""

    shape: TrainerShape
    owner: Owner
    version: int = 1
    number: int = 0
    trained_at_s: float | None = None
    untrained_count: int = 0
    open_steps: list[Step] = field(default_factory=list)
    carried: list[tuple[str, list[Sample]]] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)


def remaining_tokens(step: Step) -> dict[str, float]:
    """Return the expected number of tokens left of a step's unfinished samples."""
    return {
        sample_id: expected_remaining_tokens(
            sample.task, math.floor(sample.done) * TOKENS_PER_EVENT
        )
        for sample_id, sample in step.samples.items()
        if sample.ended_s is None
    }


class TrainerWorld:
    """Trainers, owners and engines.

    Args:
        shapes: Trainers of the deployment.
        seed: Seed of lengths, paces and the choice of owners.
        engine_count: Number of engines.
        slots: Slots of an engine.
        period_s: Time for which trainers submit steps.
        ratios: Values that the pace of an engine takes in turn.
        policy: Decisions in use.
    """

    def __init__(
        self,
        shapes: tuple[TrainerShape, ...],
        seed: int,
        *,
        engine_count: int = 22,
        slots: int = 8,
        period_s: float = 40.0,
        ratios: tuple[float, ...] = CALM_RATIOS,
        policy: Policy = Policy(),
    ) -> None:
        self.rng = random.Random(seed)
        self.shapes, self.slots, self.period_s, self.policy = shapes, slots, period_s, policy
        self.now_s, self.ratios = 0.0, ratios
        slow = set(self.rng.sample(range(engine_count), engine_count * 7 // 22))
        self.engines = [
            Engine(
                TargetId(f"i-{number}"),
                SLOW_MACHINE_RATIO if number in slow else 1.0,
                {shape.model: 1 for shape in shapes},
            )
            for number in range(engine_count)
        ]
        self.by_id = {engine.target_id: engine for engine in self.engines}
        self.owners = [
            Owner({engine.target_id: ReplicaStats() for engine in self.engines}) for _ in shapes
        ]
        self.trainers = [
            Trainer(shape, owner) for shape, owner in zip(shapes, self.owners, strict=True)
        ]
        self.named_since_s = {shape.model: 0.0 for shape in shapes}
        self.known_versions: list[tuple[float, dict[TargetId, dict[str, int]]]] = []
        self.counts: Counter[str] = Counter()

    # Measurements.

    def served(self, trainer: Trainer) -> float:
        """Return the value of a trainer's groups, as a share of what its schedule allows."""
        planned = int(self.period_s / SUBMISSION_INTERVAL_S) * trainer.shape.required_groups
        value = 0.0
        for step in trainer.steps:
            ends_s = step.group_ends_s()[: trainer.shape.required_groups]
            value += sum(
                1.0 if end_s <= DUE_S else LATE_VALUE for end_s in ends_s if end_s < LATE_S
            )
        return value / planned

    def in_time(self, trainer: Trainer) -> float:
        """Return the share of the awaited groups of submitted steps that were in time."""
        ends = [step.group_ends_s()[: trainer.shape.required_groups] for step in trainer.steps]
        in_time = sum(end_s <= DUE_S for ends_s in ends for end_s in ends_s)
        return in_time / (len(trainer.steps) * trainer.shape.required_groups)

    # The course of time.

    def run(self) -> "TrainerWorld":
        """Run the period, and the last steps to their end."""
        while self.now_s < self.period_s + LATE_S:
            self.advance_engines()
            for trainer in self.trainers:
                self.advance_trainer(trainer)
            if round(self.now_s / TICK_S) % 5 == 0:
                self.plan_loads()
            for owner in self.owners:
                self.place(owner)
            self.now_s += TICK_S
        return self

    def advance_trainer(self, trainer: Trainer) -> None:
        """Submit, end or train on a step when it is time.

        As in the logs, step k is submitted once version k is named, which is trained on step k - 2,
        so two steps of a trainer are open at a time.
        """
        for step in trainer.open_steps[:]:
            is_whole = len(step.group_ends_s()) >= trainer.shape.required_groups
            if is_whole or self.now_s - step.submitted_s >= LATE_S:
                self.end_step(trainer, step)
                trainer.untrained_count += 1
        if trainer.trained_at_s is not None and self.now_s >= trainer.trained_at_s:
            trainer.trained_at_s = None
            trainer.version += 1
            self.named_since_s[trainer.shape.model] = self.now_s
        if trainer.trained_at_s is None and trainer.untrained_count:
            trainer.untrained_count -= 1
            trainer.trained_at_s = self.now_s + self.rng.uniform(0.5, 1.0)
        due_s = trainer.number * SUBMISSION_INTERVAL_S
        if trainer.version >= trainer.number and due_s <= self.now_s < self.period_s:
            self.submit(trainer)

    def end_step(self, trainer: Trainer, step: Step) -> None:
        """End a step; its unfinished groups return in the trainer's next step."""
        step.owner.steps.remove(step)
        trainer.open_steps.remove(step)
        groups: dict[str, list[Sample]] = {}
        for sample in step.samples.values():
            self.take_off(sample)
            groups.setdefault(sample.task.group, []).append(sample)
        trainer.carried += [
            (group, samples)
            for group, samples in groups.items()
            if any(sample.ended_s is None for sample in samples)
        ]

    def submit(self, trainer: Trainer) -> None:
        """Submit the trainer's next step."""
        shape = trainer.shape
        number, trainer.number = trainer.number, trainer.number + 1
        tasks, events, done = [], {}, {}
        returned, trainer.carried = trainer.carried[: shape.groups], trainer.carried[shape.groups :]
        carried = {f"{number}-{place}": old for place, (_, old) in enumerate(returned)}
        for place in range(shape.groups):
            group = f"{number}-{place}"
            for index in range(shape.size):
                sample_id = f"{group}-{index}"
                old = carried[group][index] if group in carried else None
                count = self.draw_events(shape) if old is None else old.events
                hint = count * TOKENS_PER_EVENT * self.rng.lognormvariate(0.0, 0.5)
                hint = hint if old is None else old.task.expected_tokens or hint
                tasks.append(SampleTask(sample_id, group, "/", (), b"", expected_tokens=hint))
                events[sample_id] = count
                done[sample_id] = 0.0 if old is None else old.done
        step_id = StepId(f"{shape.model}{number}")
        oldest = WeightVersion(max(1, number - 1))
        spec = RolloutStep(step_id, shape.model, oldest, shape.required_groups, 0, tuple(tasks))
        step = Step(spec, shape, trainer.owner, self.now_s, tuple(carried))
        for task in tasks:
            sample = Sample(task, events[task.sample_id], step, math.floor(done[task.sample_id]))
            step.samples[task.sample_id] = sample
            if sample.done >= sample.events:
                sample.ended_s = self.now_s
        trainer.open_steps.append(step)
        trainer.steps.append(step)
        trainer.owner.steps.append(step)

    def draw_events(self, shape: TrainerShape) -> int:
        """Return the length of a sample: heavy-tailed, a tenth is five times longer."""
        events = self.rng.lognormvariate(math.log(shape.mean_events / 1.9), 0.84)
        events *= 5.0 if self.rng.random() < 0.1 else 1.0
        return max(1, min(shape.max_events, round(events)))

    # Engines.

    def advance_engines(self) -> None:
        """Advance the samples, the loads and the pace of all engines by one tick."""
        loading_count = sum(engine.loading is not None for engine in self.engines)
        slowdown = max(1.0, loading_count / max_concurrent_loads(len(self.engines)))
        for engine in self.engines:
            if self.now_s >= engine.changes_at_s:
                engine.ratio = self.rng.choice(self.ratios)
                engine.changes_at_s = self.now_s + self.rng.uniform(0.1, 0.5)
            if engine.loading is not None:
                model, version, left_s = engine.loading
                left_s -= TICK_S / slowdown
                engine.loading = (model, version, left_s) if left_s > 0.0 else None
                if left_s <= 0.0:
                    engine.versions[model] = version
            self.start_queued(engine)
            event_s = EVENT_S * engine.machine_ratio * engine.ratio
            for sample in list(engine.running):
                self.advance_sample(engine, sample, event_s)

    def start_queued(self, engine: Engine) -> None:
        """Start the samples that the engine's free slots and its loads allow."""
        loading = engine.loading[0] if engine.loading is not None else None
        for sample in list(engine.queue):
            if len(engine.running) >= self.slots:
                break
            if sample.step.shape.model != loading:
                engine.queue.remove(sample)
                engine.running.append(sample)
                self.report_load(engine, sample)

    def report_load(self, engine: Engine, sample: Sample) -> None:
        """Deliver the load header of an engine's response to the sample's owner."""
        pace = engine.machine_ratio * engine.ratio if self.policy.pace_reported else None
        stats = sample.step.owner.stats[engine.target_id]
        stats.record_load(len(engine.running), len(engine.queue), self.now_s, pace)

    def advance_sample(self, engine: Engine, sample: Sample, event_s: float) -> None:
        """Generate a running sample's events of one tick."""
        if sample.prompt_s > 0.0:
            sample.prompt_s -= TICK_S
            return
        before = math.floor(sample.done)
        sample.done += TICK_S / event_s
        stats = sample.step.owner.stats[engine.target_id]
        if math.floor(sample.done) > before:
            stats.record_event_interval(event_s, self.now_s)
            count = math.floor(sample.done) - math.floor(sample.began_done)
            stats.record_stream_pace(count, self.now_s - sample.began_s, self.now_s)
        if sample.done >= sample.events:
            self.take_off(sample)
            stats.record_success()
            sample.ended_s = self.now_s

    def take_off(self, sample: Sample) -> None:
        """Remove a sample from its engine."""
        engine = sample.engine
        if engine is None:
            return
        (engine.running if sample in engine.running else engine.queue).remove(sample)
        sample.step.owner.stats[engine.target_id].in_flight -= 1
        sample.done = float(math.floor(sample.done))
        sample.engine = None

    # Decisions.

    def plan_loads(self) -> None:
        """Order loads as the holder of the lease does, and publish what engines run."""
        versions = {engine.target_id: dict(engine.versions) for engine in self.engines}
        self.known_versions.append((self.now_s, versions))
        while self.known_versions[0][0] < self.now_s - DIRECTORY_AGE_S:
            del self.known_versions[0]
        weights = [
            EngineWeights(
                engine.target_id,
                {model: WeightVersion(number) for model, number in engine.versions.items()},
                {engine.loading[0]: WeightVersion(engine.loading[1])} if engine.loading else {},
            )
            for engine in self.engines
        ]
        demands = [self.demand(trainer) for trainer in self.trainers]
        for order in next_load_orders(weights, demands):
            self.by_id[order.target_id].loading = (order.model, order.version, LOAD_S)
            self.counts["loads"] += 1

    def demand(self, trainer: Trainer) -> ModelDemand:
        """Return the demand for a trainer's model."""
        model, last = trainer.shape.model, trainer.steps[-1] if trainer.steps else None
        work = (
            sum(item.task.expected_tokens or 0.0 for item in last.samples.values()) if last else 1
        )
        return ModelDemand(
            model,
            WeightVersion(trainer.version),
            self.now_s - self.named_since_s[model],
            tuple(step.step.oldest_version for step in trainer.owner.steps),
            work,
        )

    def views(self, owner: Owner) -> list[EngineView]:
        """Return the engines as a VM sees them, with the versions that it last learned of."""
        versions = self.known_versions[0][1] if self.known_versions else {}
        return [
            EngineView(
                target_id=target_id,
                slots=self.slots,
                load=stats.load(self.now_s),
                event_interval_s=stats.expected_interval_s(self.now_s),
                loaded_versions={
                    model: WeightVersion(number)
                    for model, number in versions.get(target_id, {}).items()
                },
                is_usable=not stats.is_avoided(self.now_s),
                recent_prompts=stats.recent_prompts,
            )
            for target_id, stats in owner.stats.items()
        ]

    def place(self, owner: Owner) -> None:
        """Start an owner's waiting samples and move running ones."""
        may_move = self.now_s - owner.moved_at_s >= MOVE_INTERVAL_S
        waiting = {
            (step.step.step_id, sample_id): sample
            for step in owner.steps
            for sample_id, sample in step.samples.items()
            if sample.engine is None and sample.ended_s is None and self.now_s >= sample.retry_at_s
        }
        if not (waiting or may_move) or not owner.steps:
            return
        views = self.views(owner)
        for placement in place_samples(self.waiting_samples(owner, waiting), views):
            sample = waiting[placement.step_id, placement.sample_id]
            self.start(sample, self.by_id[placement.target_id])
        if may_move:
            owner.moved_at_s = self.now_s
            for move in find_moves(self.running_samples(owner), views):
                step = next(item for item in owner.steps if item.step.step_id == move.step_id)
                sample = step.samples[move.sample_id]
                self.counts["moves"] += 1
                self.take_off(sample)
                sample.goal = move.target_id

    def waiting_samples(
        self, owner: Owner, waiting: dict[tuple[StepId, str], Sample]
    ) -> list[WaitingSample]:
        """Return the input of the placement."""
        samples = []
        for step in owner.steps:
            generated = {key: item.done * TOKENS_PER_EVENT for key, item in step.samples.items()}
            ranks = rank_samples(step.step, generated, step.carried)
            positions = self.group_positions(owner, step) if self.policy.groups_in_turn else {}
            samples += [
                WaitingSample(
                    step_id,
                    sample_id,
                    self.requirements(sample),
                    sample.task.group,
                    (step.submitted_s, ranks[sample_id]),
                    sample.goal if self.policy.pinned_moves else None,
                    positions.get(sample.task.group, 0),
                )
                for (step_id, sample_id), sample in waiting.items()
                if sample.step is step
            ]
        return samples

    def group_positions(self, owner: Owner, step: Step) -> dict[str, int]:
        """Return the order of a step's groups if it is expected to be late."""
        work = [
            StepWork(
                self.now_s - item.submitted_s,
                sum(remaining_tokens(item).values()) / TOKENS_PER_EVENT,
                sum(sample.engine is not None for sample in item.samples.values()),
            )
            for item in owner.steps
        ]
        if expected_ends_s(work, EVENT_S)[owner.steps.index(step)] <= DUE_S:
            return {}
        return order_groups(step.step.samples, remaining_tokens(step), step.carried)

    def requirements(self, sample: Sample) -> SampleRequirements:
        """Return what a sample requires of its engine."""
        software = "" if sample.done >= 1.0 else None
        return SampleRequirements(
            sample.step.shape.model, sample.step.step.oldest_version, software
        )

    def running_samples(self, owner: Owner) -> list[RunningSample]:
        """Return the input of the search for moves."""
        return [
            RunningSample(
                step.step.step_id,
                sample_id,
                sample.engine.target_id,
                self.requirements(sample),
                expected_remaining_tokens(sample.task, math.floor(sample.done) * TOKENS_PER_EVENT)
                / TOKENS_PER_EVENT,
            )
            for step in owner.steps
            for sample_id, sample in step.samples.items()
            if sample.engine is not None and sample.done >= 1.0
        ]

    def start(self, sample: Sample, engine: Engine) -> None:
        """Send a sample to an engine, which rejects it if its slots and its queue are full."""
        stats = sample.step.owner.stats[engine.target_id]
        stats.record_prompt(sample.task.group)
        self.counts["runs"] += 1
        if sample.goal is not None:
            self.counts["moves at goal"] += sample.goal == engine.target_id
            sample.goal = None
        too_old = engine.versions[sample.step.shape.model] < sample.step.step.oldest_version
        if too_old or len(engine.running) + len(engine.queue) >= self.slots + QUEUE_LIMIT:
            self.counts["rejected"] += 1
            self.report_load(engine, sample)
            stats.record_rejection(self.now_s, None)
            sample.retry_at_s = self.now_s + self.rng.random() * 0.05
            return
        stats.in_flight += 1
        sample.engine, sample.began_s, sample.began_done = engine, self.now_s, sample.done
        sample.prompt_s = PROMPT_S if sample.done < 1.0 else RESUMED_PROMPT_S
        engine.queue.append(sample)
        self.start_queued(engine)

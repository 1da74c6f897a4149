"""Which samples of a step are in the making, and which come next."""

import math
from collections.abc import Set
from itertools import count

import xxhash

from balsamcleat.decisions.stragglers import LengthEstimate, SparePlan, longest_first
from balsamcleat.model import Sample, SampleKey, StepSpec
from balsamcleat.tasks.sample_generator import SampleAttempt
from balsamcleat.tasks.step_store import PartialSample

__all__ = ["StepPlan"]

# The order is worked out again after so many finished samples.
REORDER_EVERY_SAMPLES = 64


class StepPlan:
    """Keeps the attempts of one step.

    Args:
        spec: The step.
        estimate: Learns how long samples are.
    """

    def __init__(self, spec: StepSpec, estimate: LengthEstimate) -> None:
        self.spec = spec
        self.estimate = estimate
        self.prompts = {group.group: group.prompt for group in spec.groups}
        self.group_sizes = {group.group: group.size for group in spec.groups}
        self.prompt_digests = {
            group.group: xxhash.xxh64_intdigest(group.prompt.encode()) for group in spec.groups
        }
        self.attempts: dict[SampleKey, SampleAttempt] = {}
        # Beginnings that earlier owners left.
        self.restored_partials: dict[SampleKey, PartialSample] = {}
        self.order: list[SampleKey] = []
        self.finished_since_ordering = 0
        self.serials = count(1)

    def generating_attempts(self) -> tuple[SampleAttempt, ...]:
        """Return the attempts that hold or await a turn at an engine."""
        return tuple(attempt for attempt in self.attempts.values() if not attempt.is_scoring)

    def next_attempts(
        self, missing: Set[SampleKey], room: int, plan: SparePlan
    ) -> tuple[SampleAttempt, ...]:
        """Return up to ``room`` attempts to start now: missing samples first, then spares."""
        if room <= 0:
            return ()
        todo = [key for key in self.ordered_missing(missing) if key in missing]
        started = [self.start_attempt(key) for key in todo[:room] if key not in self.attempts]
        if len(todo) <= room:
            started += [
                self.start_attempt(key)
                for key in self.spare_keys(missing, plan)[: room - len(todo)]
            ]
        return tuple(started)

    def ordered_missing(self, missing: Set[SampleKey]) -> list[SampleKey]:
        """Return the missing samples that nobody makes, the longest first."""
        waiting = missing - self.attempts.keys()
        if self.finished_since_ordering >= REORDER_EVERY_SAMPLES or not waiting <= set(self.order):
            self.finished_since_ordering = 0
            keys = sorted(waiting)
            digests = [self.prompt_digests[key.group] for key in keys]
            positions = longest_first(digests, self.estimate, self.spec.max_tokens)
            self.order = [keys[position] for position in positions]
        self.order = [key for key in self.order if key in waiting]
        return self.order

    def spare_keys(self, missing: Set[SampleKey], plan: SparePlan) -> list[SampleKey]:
        """Return spare samples worth making: at most one for each that is missing."""
        spares = [key for key in self.attempts if key.index >= self.group_sizes[key.group]]
        allowed = math.ceil(len(missing) * plan.spare_share) - len(spares)
        wanted: list[SampleKey] = []
        stragglers = sorted(missing, key=self.expected_remaining_tokens, reverse=True)
        for key in stragglers[: max(0, allowed)]:
            spare = SampleKey(key.group, self.group_sizes[key.group] + key.index)
            if spare not in self.attempts:
                wanted.append(spare)
        return wanted

    def expected_remaining_tokens(self, key: SampleKey) -> float:
        """Return how many tokens the sample in the making still needs."""
        attempt = self.attempts.get(key)
        done = 0 if attempt is None else attempt.attribution.tokens
        return self.estimate.remaining(self.prompt_digests[key.group], done, self.spec.max_tokens)

    def start_attempt(self, key: SampleKey) -> SampleAttempt:
        """Return a new attempt."""
        expected = self.estimate.expected(self.prompt_digests[key.group], self.spec.max_tokens)
        attempt = SampleAttempt(key, self.prompts[key.group], next(self.serials), expected)
        attempt.is_spare = key.index >= self.group_sizes[key.group]
        left = self.restored_partials.pop(key, None)
        if left is not None:
            attempt.restore(left)
        self.attempts[key] = attempt
        return attempt

    def remove_attempt(self, attempt: SampleAttempt) -> None:
        """Forget an attempt."""
        if self.attempts.get(attempt.key) is attempt:
            del self.attempts[attempt.key]

    def record_finished(self, sample: Sample) -> None:
        """Learn from a finished sample."""
        self.finished_since_ordering += 1
        self.estimate.finished(self.prompt_digests[sample.key.group], sample.tokens)

    def needless_attempts(self, missing: Set[SampleKey]) -> tuple[SampleAttempt, ...]:
        """Return the attempts whose sample would fill no place."""
        lacking = {key.group for key in missing}
        return tuple(
            attempt
            for key, attempt in self.attempts.items()
            if key not in missing
            and (key.index < self.group_sizes[key.group] or key.group not in lacking)
        )

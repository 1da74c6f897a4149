"""Running attempts of a step, and the order in which its missing samples are started."""

import math
from collections.abc import Set
from itertools import count

import xxhash

from balsamcleat.decisions.stragglers import LengthEstimator, StragglerPolicy, start_order
from balsamcleat.model import Sample, SampleKey, StepSpec
from balsamcleat.tasks.sample_generator import SampleAttempt
from balsamcleat.tasks.step_store import PartialSample

__all__ = ["StepPlan"]

# Number of finished samples after which the order of the missing samples is recomputed.
REORDER_EVERY_SAMPLES = 64


class StepPlan:
    """Attempts of one step, running and to be started.

    Args:
        spec: Step as its trainer opened it.
        length_estimator: Estimator of sample lengths, trained with each finished sample.
    """

    def __init__(self, spec: StepSpec, length_estimator: LengthEstimator) -> None:
        self.spec = spec
        self.length_estimator = length_estimator
        self.prompts = {group.group: group.prompt for group in spec.groups}
        self.group_sizes = {group.group: group.size for group in spec.groups}
        self.prompt_digests = {
            group.group: xxhash.xxh64_intdigest(group.prompt.encode()) for group in spec.groups
        }
        self.attempts: dict[SampleKey, SampleAttempt] = {}
        # Beginnings of samples that earlier owners saved.
        self.restored_partials: dict[SampleKey, PartialSample] = {}
        self.order: list[SampleKey] = []
        self.finished_since_ordering = 0
        self.serials = count(1)

    def generating_attempts(self) -> tuple[SampleAttempt, ...]:
        """Return the attempts that hold or wait for a slot of the limiter."""
        return tuple(attempt for attempt in self.attempts.values() if not attempt.is_scoring)

    def next_attempts(
        self, missing: Set[SampleKey], max_attempts: int, policy: StragglerPolicy
    ) -> tuple[SampleAttempt, ...]:
        """Return up to ``max_attempts`` attempts to start now: missing samples, then spares."""
        if max_attempts <= 0:
            return ()
        startable = [key for key in self.ordered_missing(missing) if key in missing]
        started = [
            self.start_attempt(key) for key in startable[:max_attempts] if key not in self.attempts
        ]
        if len(startable) <= max_attempts:
            started += [
                self.start_attempt(key)
                for key in self.spare_keys(missing, policy)[: max_attempts - len(startable)]
            ]
        return tuple(started)

    def ordered_missing(self, missing: Set[SampleKey]) -> list[SampleKey]:
        """Return the missing samples without a running attempt, longest expected first."""
        waiting = missing - self.attempts.keys()
        if self.finished_since_ordering >= REORDER_EVERY_SAMPLES or not waiting <= set(self.order):
            self.finished_since_ordering = 0
            keys = sorted(waiting)
            digests = [self.prompt_digests[key.group] for key in keys]
            positions = start_order(digests, self.length_estimator, self.spec.max_tokens)
            self.order = [keys[position] for position in positions]
        self.order = [key for key in self.order if key in waiting]
        return self.order

    def spare_keys(self, missing: Set[SampleKey], policy: StragglerPolicy) -> list[SampleKey]:
        """Return the keys of spare samples to start: at most one for each missing sample."""
        spares = [key for key in self.attempts if key.index >= self.group_sizes[key.group]]
        allowed = math.ceil(len(missing) * policy.spare_share) - len(spares)
        spare_keys: list[SampleKey] = []
        stragglers = sorted(missing, key=self.expected_remaining_tokens, reverse=True)
        for key in stragglers[: max(0, allowed)]:
            spare = SampleKey(key.group, self.group_sizes[key.group] + key.index)
            if spare not in self.attempts:
                spare_keys.append(spare)
        return spare_keys

    def expected_remaining_tokens(self, key: SampleKey) -> float:
        """Return the expected number of tokens that a sample still lacks."""
        attempt = self.attempts.get(key)
        generated_tokens = 0 if attempt is None else attempt.attribution.token_count
        return self.length_estimator.remaining_tokens(
            self.prompt_digests[key.group], generated_tokens, self.spec.max_tokens
        )

    def start_attempt(self, key: SampleKey) -> SampleAttempt:
        """Register and return a new attempt, restored from saved partial results if possible."""
        expected = self.length_estimator.expected_tokens(
            self.prompt_digests[key.group], self.spec.max_tokens
        )
        attempt = SampleAttempt(key, self.prompts[key.group], next(self.serials), expected)
        attempt.is_spare = key.index >= self.group_sizes[key.group]
        partial = self.restored_partials.pop(key, None)
        if partial is not None:
            attempt.restore(partial)
        self.attempts[key] = attempt
        return attempt

    def remove_attempt(self, attempt: SampleAttempt) -> None:
        """Remove an attempt that has ended."""
        if self.attempts.get(attempt.key) is attempt:
            del self.attempts[attempt.key]

    def record_finished(self, sample: Sample) -> None:
        """Train the length estimate with a finished sample."""
        self.finished_since_ordering += 1
        self.length_estimator.record_length(self.prompt_digests[sample.key.group], sample.tokens)

    def needless_attempts(self, missing: Set[SampleKey]) -> tuple[SampleAttempt, ...]:
        """Return the attempts whose sample is no longer needed."""
        incomplete_groups = {key.group for key in missing}
        return tuple(
            attempt
            for key, attempt in self.attempts.items()
            if key not in missing
            and (key.index < self.group_sizes[key.group] or key.group not in incomplete_groups)
        )

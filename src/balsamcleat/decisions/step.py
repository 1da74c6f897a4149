"""Decide which samples a step still needs and which numbered batch its trainer gets.

A pull says which batch the trainer took last and, if the trainer keeps count, which samples it
has. The answer to a pull holds batch ``cursor + 1`` and no sample that the trainer said it has; a
trainer takes only that number. So no owner, stale or not, can make it take a sample twice.
"""

from dataclasses import dataclass, replace
from enum import Enum

from balsamcleat.model import Batch, Sample, SampleKey, StepSpec, TrainerAck, WeightVersion

__all__ = [
    "AddOutcome",
    "Ambiguous",
    "DeliverBatch",
    "Fenced",
    "PullDecision",
    "StepComplete",
    "StepStateMachine",
    "Wait",
]

BATCH_SAMPLES = 32


class AddOutcome(Enum):
    """What became of a finished sample."""

    ACCEPTED = "taken"
    # The place is filled already.
    SURPLUS = "surplus"
    # Older than the bound allows.
    STALE = "stale"
    # Some token's weight version is not known.
    UNATTRIBUTED = "unattributed"


@dataclass(frozen=True, slots=True)
class DeliverBatch:
    """Hand out the batch; one not yet ``recorded`` must be recorded first if that can be done.

    Attributes:
        batch: The batch.
        recorded: Whether its contents are kept durably under its number.
        witnessed: Whether the trainer said what it has, so that an unrecorded batch can't
            reach it twice.
    """

    batch: Batch
    is_recorded: bool
    has_trainer_bitmap: bool


@dataclass(frozen=True, slots=True)
class Wait:
    """There is no batch yet."""


@dataclass(frozen=True, slots=True)
class StepComplete:
    """The trainer has every sample."""


@dataclass(frozen=True, slots=True)
class Fenced:
    """The trainer has seen a newer owner: this one must stop."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """Only a trainer that says what it has can get an answer here."""

    reason: str


PullDecision = DeliverBatch | Wait | StepComplete | Fenced | Ambiguous


@dataclass(frozen=True, slots=True)
class BatchBitmap:
    """The bits of one batch's samples; another batch may come under the same number."""

    batch: Batch
    bits: int


class StepStateMachine:
    """Collects samples into numbered batches, each sample in exactly one.

    Args:
        spec: The step.
        batch_samples: The most samples in a batch.
        epoch: The owner's epoch.
    """

    def __init__(self, spec: StepSpec, batch_samples: int = BATCH_SAMPLES, epoch: int = 0) -> None:
        self.spec = spec
        self.batch_samples = batch_samples
        self.epoch = epoch
        self.trainer_version = spec.trainer_version
        self.sample_keys = tuple(
            SampleKey(group.group, index) for group in spec.groups for index in range(group.size)
        )
        self.bit_by_key = {key: 1 << position for position, key in enumerate(self.sample_keys)}
        self.group_sizes = {group.group: group.size for group in spec.groups}
        self.missing_keys: set[SampleKey] = set(self.sample_keys)
        self.ready_samples: dict[SampleKey, Sample] = {}
        # Every batch formed, by number; those above ``acked`` wait for the trainer.
        self.batches: dict[int, Batch] = {}
        self.recorded_numbers: set[int] = set()
        self.batch_bitmaps: dict[int, BatchBitmap] = {}
        self.acked_number = 0
        # Bitmap of the samples that the trainer last said it has.
        self.last_trainer_bitmap = 0
        self.total_samples = len(self.sample_keys)
        self.discarded_samples = 0

    @property
    def next_batch(self) -> Batch | None:
        """The batch that the trainer gets next, if it is formed."""
        return self.batches.get(self.acked_number + 1)

    def oldest_allowed_version(self) -> WeightVersion:
        """Return the oldest weight version that a delivered sample may carry now."""
        bound = self.trainer_version - self.spec.staleness_bound
        return WeightVersion(max(bound, self.spec.min_version))

    def record_trainer_version(self, version: WeightVersion) -> tuple[SampleKey, ...]:
        """Take note of the trainer's version, which only grows.

        Returns:
            Places whose finished samples became stale and must be filled again.
        """
        if version <= self.trainer_version:
            return ()
        self.trainer_version = version
        stale = tuple(
            key for key, sample in self.ready_samples.items() if not self.is_fresh(sample)
        )
        for key in stale:
            del self.ready_samples[key]
        self.missing_keys.update(stale)
        self.discarded_samples += len(stale)
        return stale

    def is_fresh(self, sample: Sample) -> bool:
        """Return whether the sample is within the staleness bound now."""
        return sample.oldest_version() >= self.oldest_allowed_version()

    def add(self, sample: Sample) -> AddOutcome:
        """Take a finished sample; a spare one fills any place that its group still lacks."""
        if not has_complete_attribution(sample):
            self.discarded_samples += 1
            return AddOutcome.UNATTRIBUTED
        if not self.is_fresh(sample):
            self.discarded_samples += 1
            return AddOutcome.STALE
        key = self.key_to_fill(sample.key)
        if key is None:
            self.discarded_samples += 1
            return AddOutcome.SURPLUS
        self.missing_keys.discard(key)
        self.ready_samples[key] = replace(sample, key=key)
        return AddOutcome.ACCEPTED

    def key_to_fill(self, key: SampleKey) -> SampleKey | None:
        """Return the place that a sample fills, or None when its group lacks none."""
        if key in self.missing_keys:
            return key
        size = self.group_size(key.group)
        if key.index < size:
            return None
        open_places = (SampleKey(key.group, index) for index in reversed(range(size)))
        return next((place for place in open_places if place in self.missing_keys), None)

    def group_size(self, group: int) -> int:
        """Return how many samples the group needs; 0 for an unknown group."""
        return self.group_sizes.get(group, 0)

    def pull(self, ack: TrainerAck) -> PullDecision:
        """Return what to answer a trainer's pull."""
        if ack.epoch > self.epoch:
            return Fenced(ack.epoch)
        self.record_trainer_version(ack.version)
        ambiguous = self.apply_ack(ack)
        if ambiguous is not None:
            return ambiguous
        if self.next_batch is not None and not self.is_batch_fresh(self.next_batch):
            if ack.have is None:
                return Ambiguous("the batch went stale before it was acknowledged")
            self.disband_batches_from(self.acked_number + 1)
        return self.decide_next_batch(witnessed=ack.have is not None)

    def apply_ack(self, ack: TrainerAck) -> Ambiguous | None:
        """Move to where the trainer says it is."""
        if ack.have is None:
            if any(number not in self.batches for number in range(1, ack.cursor + 1)):
                return Ambiguous(f"batch {ack.cursor} was not handed out here")
            self.acked_number = ack.cursor
            return None
        moved_on = ack.cursor == self.acked_number or (
            ack.cursor == self.acked_number + 1 and ack.cursor in self.batches
        )
        expected = (
            moved_on
            and self.has_matching_history()
            and ack.have == self.expected_bitmap(ack.cursor)
        )
        self.acked_number = ack.cursor
        if not expected:
            self.reconcile(ack.have)
        self.last_trainer_bitmap = ack.have
        return None

    def has_matching_history(self) -> bool:
        """Return whether every batch taken so far is known here as the trainer took it."""
        known = all(number in self.batches for number in range(1, self.acked_number + 1))
        return known and self.last_trainer_bitmap == self.expected_bitmap(self.acked_number)

    def expected_bitmap(self, cursor: int) -> int:
        """Return the bitmap of a trainer that took the batches up to ``cursor``."""
        bitmap = 0
        for number in range(1, cursor + 1):
            bitmap |= self.batch_bitmap(self.batches[number])
        return bitmap

    def batch_bitmap(self, batch: Batch) -> int:
        """Return the bits of a batch's samples, worked out once for each batch."""
        known = self.batch_bitmaps.get(batch.number)
        if known is None or known.batch is not batch:
            known = BatchBitmap(batch, sum(self.bit_by_key[key] for key in batch.places()))
            self.batch_bitmaps[batch.number] = known
        return known.bits

    def reconcile(self, have: int) -> None:
        """Believe the trainer's own word on what it has, whatever was believed here."""
        held = {key for key in self.sample_keys if self.bit_by_key[key] & have}
        pending = sorted(number for number in self.batches if number > self.acked_number)
        for expected, number in enumerate(pending, self.acked_number + 1):
            if number != expected or self.batches[number].places() & held:
                self.disband_batches_from(number)
                break
        self.missing_keys -= held
        for key in held:
            self.ready_samples.pop(key, None)
        placed = held | self.missing_keys | self.ready_samples.keys()
        for number, batch in self.batches.items():
            if number > self.acked_number:
                placed |= batch.places()
        self.requeue_lost_samples({key for key in self.sample_keys if key not in placed})
        # Batches that the trainer took in another shape are of no use if it ever comes back.
        for number in [number for number in self.batches if number <= self.acked_number]:
            if not self.batches[number].places() <= held:
                del self.batches[number]
                self.recorded_numbers.discard(number)

    def requeue_lost_samples(self, lost: set[SampleKey]) -> None:
        """Bring samples back that the trainer turned out not to have."""
        for number in [number for number in self.batches if number <= self.acked_number]:
            for sample in self.batches[number].samples:
                if sample.key in lost and self.is_fresh(sample):
                    self.ready_samples[sample.key] = sample
        self.missing_keys.update(lost - self.ready_samples.keys())

    def disband_batches_from(self, number: int) -> None:
        """Take apart the batches from ``number`` on; their trainer said it has none of them."""
        for dropped in [key for key in self.batches if key >= number]:
            for sample in self.batches.pop(dropped).samples:
                if self.is_fresh(sample):
                    self.ready_samples[sample.key] = sample
                else:
                    self.missing_keys.add(sample.key)
                    self.discarded_samples += 1
            self.recorded_numbers.discard(dropped)

    def is_batch_fresh(self, batch: Batch) -> bool:
        """Return whether every sample of the batch is within the bound now."""
        return all(self.is_fresh(sample) for sample in batch.samples)

    def decide_next_batch(self, *, witnessed: bool) -> PullDecision:
        """Return the batch after the last acknowledged one."""
        if self.next_batch is None:
            whole = not self.missing_keys
            if not self.ready_samples:
                return StepComplete() if whole else Wait()
            if len(self.ready_samples) < self.batch_samples and not whole:
                return Wait()
            self.form_next_batch()
        offered = self.next_batch
        assert offered is not None
        judged = replace(
            offered,
            epoch=self.epoch,
            judged_at=self.trainer_version,
            last=self.is_last_batch(offered),
        )
        return DeliverBatch(judged, offered.number in self.recorded_numbers, witnessed)

    def is_last_batch(self, batch: Batch) -> bool:
        """Return whether the step is whole with this batch."""
        later = any(number > batch.number for number in self.batches)
        return not self.missing_keys and not self.ready_samples and not later

    def form_next_batch(self) -> None:
        """Form the next batch from the first samples that are ready."""
        chosen = tuple(self.ready_samples.values())[: self.batch_samples]
        for sample in chosen:
            del self.ready_samples[sample.key]
        number = self.acked_number + 1
        self.recorded_numbers.discard(number)
        self.batches[number] = Batch(self.spec.step_id, number, chosen, last=False)

    def mark_recorded(self, batch: Batch) -> None:
        """Take note that a batch's contents are kept durably under its number."""
        kept = self.batches.get(batch.number)
        if kept is not None and kept.samples == batch.samples:
            self.recorded_numbers.add(batch.number)

    def restore(self, batches: tuple[Batch, ...], finished: tuple[Sample, ...]) -> None:
        """Take over what an earlier owner left: recorded batches, then finished samples."""
        for number, batch in enumerate(batches, 1):
            if batch.number != number or not batch.places() <= self.missing_keys:
                break
            self.batches[batch.number] = batch
            self.recorded_numbers.add(batch.number)
            self.missing_keys -= batch.places()
        for sample in finished:
            if sample.key in self.missing_keys:
                self.add(sample)

    def has_all_samples(self) -> bool:
        """Return whether no sample has to be generated any more."""
        return not self.missing_keys


def has_complete_attribution(sample: Sample) -> bool:
    """Return whether the spans name a version for each token, without gap or overlap."""
    position = 0
    for span in sample.spans:
        if span.start != position or span.end <= span.start or span.version <= 0:
            return False
        position = span.end
    return position == sample.tokens and bool(sample.spans)

"""An approximate index of the prompt prefixes that each engine has in its cache."""

from balsamcleat.model import TargetId

__all__ = ["PrefixIndex"]

# Maximum number of engines stored for one block; routing needs no more copies of a hot prefix.
MAX_HOLDERS = 6
# An entry is refreshed only after 1 / REFRESH_DIVISOR of the engine's cache was stored since.
REFRESH_DIVISOR = 8
# Digests in each of the two generations of the index.
GENERATION_DIGESTS = 32_768


class PrefixIndex:
    """Estimates which engines hold which blocks, from this VM's requests and from cache events.

    Events arrive late and with gaps, so the index is approximate. The age of an entry is the
    number of blocks stored at its engine since: once as many were stored as fit into the engine's
    cache, the block has been evicted, whether an event reported it or not.

    Args:
        cache_blocks: Assumed number of blocks that fit into an engine's cache.
        generation_digests: Maximum number of digests in one generation; two are kept.
    """

    def __init__(
        self, cache_blocks: int = 2048, generation_digests: int = GENERATION_DIGESTS
    ) -> None:
        self.cache_blocks = cache_blocks
        self.generation_digests = generation_digests
        # Dropping a whole generation at once is cheaper on the hot path than an LRU order.
        self.young: dict[int, dict[TargetId, int]] = {}
        self.old: dict[int, dict[TargetId, int]] = {}
        self.stored_blocks: dict[TargetId, int] = {}
        self.last_event_number: dict[TargetId, int] = {}

    def holders(self, digest: int) -> dict[TargetId, int]:
        """Return the probable holders of a block, each with its block count when it stored it."""
        entry = self.young.get(digest)
        if entry is not None:
            return entry
        entry = self.old.get(digest)
        return {} if entry is None else entry

    def is_known(self, digest: int) -> bool:
        """Return whether the index contains a block, even if no engine still holds it."""
        return digest in self.young or digest in self.old

    def is_held_by(self, target_id: TargetId, digest: int) -> bool:
        """Return whether the engine probably holds the block."""
        stamp = self.holders(digest).get(target_id)
        return stamp is not None and self.is_fresh(target_id, stamp)

    def is_fresh(self, target_id: TargetId, stamp: int) -> bool:
        """Return whether a block stored at the block count ``stamp`` can still be cached."""
        return self.stored_blocks.get(target_id, 0) - stamp < self.cache_blocks

    def matched_blocks(self, target_id: TargetId, digests: tuple[int, ...]) -> int:
        """Return the number of leading blocks that the engine probably holds."""
        # Prefixes nest, so a binary search finds the end of the cached part.
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high) // 2
            if self.is_held_by(target_id, digests[middle]):
                low = middle + 1
            else:
                high = middle
        return low

    def longest_match_holders(self, digests: tuple[int, ...]) -> tuple[TargetId, ...]:
        """Return the engines that were sent the longest known prefix, or none if none is known.

        Some may have evicted the prefix by now. They are still preferred, because requests of
        other VMs, which this index doesn't see, may have kept the prefix cached there.
        """
        low, high = 0, len(digests)
        longest_holders: tuple[TargetId, ...] = ()
        while low < high:
            middle = (low + high) // 2
            holders = self.holders(digests[middle])
            if holders:
                longest_holders, low = tuple(holders), middle + 1
            else:
                high = middle
        return longest_holders

    def record_request(self, target_id: TargetId, digests: tuple[int, ...]) -> None:
        """Record that a request with this prompt is sent to the engine."""
        count, recent = self.stored_blocks.get(target_id, 0), self.cache_blocks // REFRESH_DIVISOR
        # Prefixes nest: the blocks before a recently recorded block were recorded with it.
        for digest in reversed(digests):
            holders = self.young.get(digest)
            stamp = None if holders is None else holders.get(target_id)
            if stamp is not None and count - stamp < recent:
                break
            self.record_block(target_id, digest)

    def record_block(self, target_id: TargetId, digest: int) -> None:
        """Record that the engine holds the block from now on."""
        holders = self.young.get(digest)
        if holders is None:
            holders = self.promote(digest)
        stamp = holders.pop(target_id, None)
        count = self.stored_blocks.get(target_id, 0)
        if stamp is None or count - stamp >= self.cache_blocks:
            count += 1
            self.stored_blocks[target_id] = count
        holders[target_id] = count
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]

    def promote(self, digest: int) -> dict[TargetId, int]:
        """Move or add the block's entry to the young generation and return it."""
        if len(self.young) >= self.generation_digests:
            self.old, self.young = self.young, {}
        holders = self.old.pop(digest, None)
        if holders is None:
            holders = {}
        self.young[digest] = holders
        return holders

    def record_event(self, target_id: TargetId, number: int, digest: int, *, stored: bool) -> None:
        """Record a cache event of an engine.

        Args:
            target_id: Engine that sent the event.
            number: Sequence number of the event; each missed number counts as a stored block.
            digest: Digest of the block.
            stored: Whether the block was stored; otherwise it was evicted.
        """
        last = self.last_event_number.get(target_id)
        if last is not None and number > last + 1:
            self.stored_blocks[target_id] = self.stored_blocks.get(target_id, 0) + (
                number - last - 1
            )
        if last is None or number > last:
            self.last_event_number[target_id] = number
        if stored:
            self.record_block(target_id, digest)
        else:
            self.holders(digest).pop(target_id, None)

    def clear_engine(self, target_id: TargetId) -> None:
        """Mark all blocks of an engine as evicted, after a crash or a new weight version."""
        self.stored_blocks[target_id] = self.stored_blocks.get(target_id, 0) + self.cache_blocks
        self.last_event_number.pop(target_id, None)

    def remove_engine(self, target_id: TargetId) -> None:
        """Remove an engine that no longer exists; its entries in the index age out."""
        self.stored_blocks.pop(target_id, None)
        self.last_event_number.pop(target_id, None)

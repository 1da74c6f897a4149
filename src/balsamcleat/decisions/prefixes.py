"""A belief about which engine has which prompt prefix in its cache."""

from balsamcleat.model import TargetId

__all__ = ["PrefixIndex"]

# Engines remembered for one block; more copies of a hot prefix need no memory of their own.
MAX_HOLDERS = 6
# A belief younger than this part of a cache's turnover needs no renewal.
REFRESH_DIVISOR = 8
# Digests in each of the two generations of the index.
GENERATION_DIGESTS = 32_768


class PrefixIndex:
    """Believes which engines hold which blocks, from own requests and from cache events.

    Events come late and with gaps, so nothing here is certain. A belief ages by the blocks
    stored at its engine since: once as many were stored as fit into the engine's cache, the
    block has been evicted, whether an event told so or not.

    Args:
        cache_blocks: Blocks taken to fit into an engine's cache.
        generation_digests: Digests in one generation; two are kept.
    """

    def __init__(
        self, cache_blocks: int = 2048, generation_digests: int = GENERATION_DIGESTS
    ) -> None:
        self.cache_blocks = cache_blocks
        self.generation_digests = generation_digests
        # Dropping a whole generation at once is cheaper on the hot path than an order of use.
        self.young: dict[int, dict[TargetId, int]] = {}
        self.old: dict[int, dict[TargetId, int]] = {}
        self.stored_blocks: dict[TargetId, int] = {}
        self.last_event_number: dict[TargetId, int] = {}

    def holders(self, digest: int) -> dict[TargetId, int]:
        """Return who is believed to hold a block, with the age count at which it was stored."""
        found = self.young.get(digest)
        if found is not None:
            return found
        found = self.old.get(digest)
        return {} if found is None else found

    def is_known(self, digest: int) -> bool:
        """Return whether a block was met before, wherever it may be now."""
        return digest in self.young or digest in self.old

    def is_held_by(self, target_id: TargetId, digest: int) -> bool:
        """Return whether the engine is believed to hold the block."""
        stamp = self.holders(digest).get(target_id)
        return stamp is not None and self.is_fresh(target_id, stamp)

    def is_fresh(self, target_id: TargetId, stamp: int) -> bool:
        """Return whether a block stored at the count ``stamp`` can still be there."""
        return self.stored_blocks.get(target_id, 0) - stamp < self.cache_blocks

    def matched_blocks(self, target_id: TargetId, digests: tuple[int, ...]) -> int:
        """Return how many leading blocks the engine is believed to hold."""
        # Prefixes nest, so the end of the held part is found by halving.
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high) // 2
            if self.is_held_by(target_id, digests[middle]):
                low = middle + 1
            else:
                high = middle
        return low

    def longest_match_holders(self, digests: tuple[int, ...]) -> tuple[TargetId, ...]:
        """Return the engines that were sent the longest known part, none if nothing is known.

        Some may have evicted it by now; one that had it is still the better place for it, as
        other nodes may have kept it warm there without our knowing.
        """
        low, high = 0, len(digests)
        found: tuple[TargetId, ...] = ()
        while low < high:
            middle = (low + high) // 2
            holders = self.holders(digests[middle])
            if holders:
                found, low = tuple(holders), middle + 1
            else:
                high = middle
        return found

    def record_request(self, target_id: TargetId, digests: tuple[int, ...]) -> None:
        """Take note that a request with this prompt goes to the engine."""
        count, recent = self.stored_blocks.get(target_id, 0), self.cache_blocks // REFRESH_DIVISOR
        # Prefixes nest: what comes before a block noted lately was noted with it.
        for digest in reversed(digests):
            holders = self.young.get(digest)
            stamp = None if holders is None else holders.get(target_id)
            if stamp is not None and count - stamp < recent:
                break
            self.record_block(target_id, digest)

    def record_block(self, target_id: TargetId, digest: int) -> None:
        """Believe that the engine holds the block from now on."""
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
        """Return the block's entry in the young generation."""
        if len(self.young) >= self.generation_digests:
            self.old, self.young = self.young, {}
        holders = self.old.pop(digest, None)
        if holders is None:
            holders = {}
        self.young[digest] = holders
        return holders

    def record_event(self, target_id: TargetId, number: int, digest: int, *, stored: bool) -> None:
        """Take a cache event of an engine.

        Args:
            target_id: The engine.
            number: The event's number; numbers missed count as blocks stored unseen.
            digest: The block.
            stored: Whether it entered the cache; else it left.
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
        """Believe that the engine's cache is empty, after a crash or a new weight version."""
        self.stored_blocks[target_id] = self.stored_blocks.get(target_id, 0) + self.cache_blocks
        self.last_event_number.pop(target_id, None)

    def remove_engine(self, target_id: TargetId) -> None:
        """Forget an engine that is gone; what mentions it ages out."""
        self.stored_blocks.pop(target_id, None)
        self.last_event_number.pop(target_id, None)

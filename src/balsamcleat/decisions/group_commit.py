"""Decide which independent transactions are committed together."""

from collections import deque
from dataclasses import dataclass

from balsamcleat.ports import Conflicted, Transaction, Write

__all__ = ["GroupCommit", "TransactionBatch", "is_small"]

MAX_BATCH_TRANSACTIONS = 64
MAX_BATCH_BYTES = 128 * 1024
MAX_SMALL_BYTES = 8 * 1024
MAX_SMALL_WRITES = 16


def transaction_bytes(transaction: Transaction) -> int:
    """Return the bytes of keys and values in the transaction."""
    return sum(len(write.key) + len(write.value or b"") for write in transaction.writes)


def is_small(transaction: Transaction) -> bool:
    """Return whether the transaction may share a commit with others."""
    return (
        len(transaction.writes) <= MAX_SMALL_WRITES
        and transaction_bytes(transaction) <= MAX_SMALL_BYTES
    )


@dataclass(frozen=True, slots=True)
class TransactionBatch:
    """Transactions on different rows that are committed as one."""

    transactions: tuple[Transaction, ...]

    def writes(self) -> tuple[Write, ...]:
        """Return all writes."""
        return tuple(write for item in self.transactions for write in item.writes)

    def split(self, conflicted: Conflicted) -> tuple["TransactionBatch", dict[str, Conflicted]]:
        """Return what may be committed again, and the conflicts by operation id.

        A conflict means that nothing took effect, so the transactions without a conflicting row
        are free to be committed again without the others.
        """
        keys = frozenset(conflicted.keys)
        lost: dict[str, Conflicted] = {}
        kept: list[Transaction] = []
        for item in self.transactions:
            own = tuple(write.key for write in item.writes if write.key in keys)
            if own:
                lost[item.operation_id] = Conflicted(own)
            else:
                kept.append(item)
        return TransactionBatch(tuple(kept)), lost


class GroupCommit:
    """Queues transactions and packs them into batches in order of arrival."""

    def __init__(self) -> None:
        self.queue: deque[Transaction] = deque()

    def add(self, transaction: Transaction) -> None:
        """Queue a transaction."""
        self.queue.append(transaction)

    def discard(self, operation_id: str) -> bool:
        """Take a transaction back; returns False when it already went into a batch."""
        for item in self.queue:
            if item.operation_id == operation_id:
                self.queue.remove(item)
                return True
        return False

    def next_batch(self) -> TransactionBatch | None:
        """Return the next batch, or None when nothing waits.

        A transaction on a row that the batch already writes waits, and so does all that
        came after it: the order of writes to a row is the order of arrival.
        """
        chosen: list[Transaction] = []
        keys: set[str] = set()
        total = 0
        while self.queue and len(chosen) < MAX_BATCH_TRANSACTIONS:
            item = self.queue[0]
            item_keys = {write.key for write in item.writes}
            if chosen and (total + transaction_bytes(item) > MAX_BATCH_BYTES or item_keys & keys):
                break
            chosen.append(self.queue.popleft())
            keys |= item_keys
            total += transaction_bytes(item)
        return TransactionBatch(tuple(chosen)) if chosen else None

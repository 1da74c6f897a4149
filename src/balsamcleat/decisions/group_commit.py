"""Group commit: pack independent transactions into shared commits."""

from collections import deque
from dataclasses import dataclass

from balsamcleat.ports import Conflicted, Transaction, Write

__all__ = ["GroupCommit", "TransactionBatch", "is_small"]

MAX_BATCH_TRANSACTIONS = 64
MAX_BATCH_BYTES = 128 * 1024
MAX_SMALL_BYTES = 8 * 1024
MAX_SMALL_WRITES = 16


def transaction_bytes(transaction: Transaction) -> int:
    """Return the total size of keys and values in the transaction, in bytes."""
    return sum(len(write.key) + len(write.value or b"") for write in transaction.writes)


def is_small(transaction: Transaction) -> bool:
    """Return whether the transaction may share a commit with others."""
    return (
        len(transaction.writes) <= MAX_SMALL_WRITES
        and transaction_bytes(transaction) <= MAX_SMALL_BYTES
    )


@dataclass(frozen=True, slots=True)
class TransactionBatch:
    """Transactions on different rows that are committed together."""

    transactions: tuple[Transaction, ...]

    def writes(self) -> tuple[Write, ...]:
        """Return the writes of all transactions."""
        return tuple(write for transaction in self.transactions for write in transaction.writes)

    def split(self, conflicted: Conflicted) -> tuple["TransactionBatch", dict[str, Conflicted]]:
        """Return a batch without the conflicting transactions, and the conflicts by operation id.

        A conflict means that no write took effect, so the transactions without a conflicting row
        can be committed again without the others.
        """
        conflicting_keys = frozenset(conflicted.keys)
        conflicts: dict[str, Conflicted] = {}
        remaining: list[Transaction] = []
        for transaction in self.transactions:
            own_conflicts = tuple(
                write.key for write in transaction.writes if write.key in conflicting_keys
            )
            if own_conflicts:
                conflicts[transaction.operation_id] = Conflicted(own_conflicts)
            else:
                remaining.append(transaction)
        return TransactionBatch(tuple(remaining)), conflicts


class GroupCommit:
    """Queues transactions and packs them into batches in order of arrival."""

    def __init__(self) -> None:
        self.queue: deque[Transaction] = deque()

    def add(self, transaction: Transaction) -> None:
        """Queue a transaction."""
        self.queue.append(transaction)

    def discard(self, operation_id: str) -> bool:
        """Remove a queued transaction; return False if it is already in a batch."""
        for transaction in self.queue:
            if transaction.operation_id == operation_id:
                self.queue.remove(transaction)
                return True
        return False

    def next_batch(self) -> TransactionBatch | None:
        """Return the next batch, or None if the queue is empty.

        A transaction that writes to a row of the batch ends the batch and waits, as do all later
        ones, so that writes to a row are committed in order of arrival.
        """
        selected: list[Transaction] = []
        keys: set[str] = set()
        total_bytes = 0
        while self.queue and len(selected) < MAX_BATCH_TRANSACTIONS:
            transaction = self.queue[0]
            transaction_keys = {write.key for write in transaction.writes}
            if selected and (
                total_bytes + transaction_bytes(transaction) > MAX_BATCH_BYTES
                or transaction_keys & keys
            ):
                break
            selected.append(self.queue.popleft())
            keys |= transaction_keys
            total_bytes += transaction_bytes(transaction)
        return TransactionBatch(tuple(selected)) if selected else None

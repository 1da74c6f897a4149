"""The interface to the platform's transactional table service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["ABSENT", "Committed", "Conflicted", "Row", "Table", "Transaction", "Write"]

# As the expected version of a row, requires that the row does not exist.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; each write to the row increases ``version`` by one."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write in a transaction.

    Attributes:
        key: Key of the row.
        value: New value, or None to delete the row.
        expected_version: Version that the row must have for the transaction to commit;
            ``ABSENT`` if the row must not exist, None for an unconditional write.
    """

    key: str
    value: bytes | None
    expected_version: int | None = None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically.

    Attributes:
        operation_id: Id of the transaction, by which its outcome can be looked up.
        writes: Writes of the transaction.
    """

    operation_id: str
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed."""


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction had no effect because these rows did not have their expected versions."""

    keys: tuple[str, ...]


class Table(ABC):
    """Reads rows and commits transactions.

    Every method raises ``PlatformUnavailableError`` if the service did not accept the request.
    """

    @abstractmethod
    async def get(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""

    @abstractmethod
    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return up to ``limit`` rows whose keys start with ``prefix`` and sort after ``after``."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Commit the transaction.

        Raises:
            OutcomeUnknownError: The request was sent but no response arrived; the caller can
                determine the outcome by reading the rows that the transaction writes.
        """

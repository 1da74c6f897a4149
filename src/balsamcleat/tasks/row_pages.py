"""Reading of all rows of a part of a table, page by page."""

from dataclasses import dataclass

from balsamcleat.ports.rows import RowChange, RowStore

__all__ = ["PartRows", "read_part"]

# The first key after a key is this suffix longer.
FIRST_SUFFIX = "\0"


@dataclass(frozen=True, slots=True)
class PartRows:
    """Rows of a part.

    Attributes:
        rows: All rows, in ascending order of their keys.
        version: Oldest version of the store among the pages that were read.
    """

    rows: tuple[RowChange, ...]
    version: int


async def read_part(store: RowStore, table: str, part: str) -> PartRows:
    """Return all rows of a part.

    Raises:
        PlatformUnavailableError: The store does not answer.
    """
    page = await store.read(table, part)
    rows = [*page.rows]
    version = page.version
    while page.more and page.rows:
        page = await store.read(table, part, rows[-1].key.key + FIRST_SUFFIX)
        rows += page.rows
        version = min(version, page.version)
    return PartRows(tuple(rows), version)

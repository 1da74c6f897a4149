"""Reading of all rows of a part of a table, page by page."""

from dataclasses import dataclass

from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.ports.rows import RowChange, RowPage, RowStore

__all__ = ["PartRows", "next_page_start", "read_part"]

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


def next_page_start(page: RowPage) -> str | None:
    """Return the key from which the next page begins, or None if the page is the last one.

    Raises:
        PlatformUnavailableError: The page has no rows, but more are said to follow. What was read
            so far is incomplete.
    """
    if not page.more:
        return None
    if not page.rows:
        raise PlatformUnavailableError("a page without rows is not the last", step="rows.read")
    return page.rows[-1].key.key + FIRST_SUFFIX


async def read_part(store: RowStore, table: str, part: str) -> PartRows:
    """Return all rows of a part.

    Raises:
        PlatformUnavailableError: The store does not answer all of them.
    """
    pages: list[RowPage] = []
    start: str | None = ""
    while start is not None:
        page = await store.read(table, part, start)
        pages.append(page)
        start = next_page_start(page)
    rows = tuple(row for page in pages for row in page.rows)
    return PartRows(rows, min(page.version for page in pages))

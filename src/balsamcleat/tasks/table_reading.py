"""Reading of all parts of a table, which goes on where a failure interrupted it.

Load pattern: all VMs start at once, and each one reads a table with one part a step. Together they
use up the store's rate of reads. A VM that began the table anew after each refused read would never
get done, and would keep the others from getting done.
"""

from collections import deque

from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.ports.rows import RowChange, RowStore
from balsamcleat.tasks.row_pages import read_part

__all__ = ["TableReading"]


class TableReading:
    """One read of a table.

    Parts are read at different moments. The change feed has all later changes of each of them from
    ``version`` on, which is that of the first call.

    Args:
        store: Row store.
        table: Name of the table.

    Attributes:
        version: Version of the store before the first part was read; 0 before that.
    """

    def __init__(self, store: RowStore, table: str) -> None:
        self.store = store
        self.table = table
        self.version = 0
        self.has_begun = False
        self.rows: list[RowChange] = []
        # Parts that are listed and not read yet.
        self.unread: deque[str] = deque()
        self.last_listed = ""
        self.has_unlisted = True

    async def finish(self) -> tuple[RowChange, ...]:
        """Read what is left, and return all rows; after an error, it may be called again.

        Raises:
            PlatformUnavailableError: The store does not answer all calls.
        """
        if not self.has_begun:
            self.version = (await self.store.read(self.table, "", limit=1)).version
            self.has_begun = True
        while self.unread or self.has_unlisted:
            if not self.unread:
                await self.list_parts()
                continue
            self.rows += (await read_part(self.store, self.table, self.unread[0])).rows
            self.unread.popleft()
        return tuple(self.rows)

    async def list_parts(self) -> None:
        """Read the next names of parts."""
        parts, more = await self.store.parts(self.table, self.last_listed)
        if more and not parts:
            raise PlatformUnavailableError(
                "a list of parts without names is not the last", step="parts.read"
            )
        self.has_unlisted = more
        if parts:
            self.unread.extend(parts)
            self.last_listed = parts[-1]

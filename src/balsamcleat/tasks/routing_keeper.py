"""Keeps the configuration in force and the named weight versions, from the operators' table."""

from collections.abc import Callable

import structlog

from balsamcleat.errors import ProtocolError
from balsamcleat.model import WeightVersion
from balsamcleat.model.routing import RoutingTable
from balsamcleat.platform import (
    NAMED_VERSION_PREFIX,
    ROUTING_KEY,
    decode_named_version,
    decode_routing,
)
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.store_clock import boot_clock_s
from balsamcleat.tasks.table_follower import TableObserver

__all__ = ["RoutingKeeper"]

log = structlog.get_logger()


class RoutingKeeper(TableObserver):
    """Holds the newest configuration and the newest named weight version of each model.

    Version numbers only increase: a version older than the one in force is ignored.

    Args:
        on_change: Called after each change of the configuration or of a named version.
        clock: Returns local time in seconds, including time in which the process was suspended.

    Attributes:
        is_newest_readable: Whether the newest configuration document could be decoded.
    """

    def __init__(
        self, on_change: Callable[[], None], clock: Callable[[], float] = boot_clock_s
    ) -> None:
        self.on_change = on_change
        self.clock = clock
        self.confirmed_at_s = float("-inf")
        self.is_newest_readable = True
        self.table: RoutingTable | None = None
        self.named_versions: dict[str, WeightVersion] = {}

    def apply_row(self, row: RowChange) -> None:
        """Apply a document that was written."""
        if row.value is None:
            return
        try:
            self.apply_document(row.key.key, row.value, row.version)
        except ProtocolError as error:
            log.warning("document refused", key=row.key.key, reason=str(error))

    def on_rows_applied(self) -> None:
        """Report the changes of one answer."""
        self.on_change()

    def on_store_recovered(self) -> None:
        """Do nothing: documents do not expire while the store is unavailable."""

    def record_read(self) -> None:
        """Record that all documents until now were read."""
        self.confirmed_at_s = self.clock()

    def confirmed_age_s(self) -> float:
        """Return the time since the configuration was known to be the newest, in seconds.

        It is infinite while the newest document can't be decoded.
        """
        return self.clock() - self.confirmed_at_s if self.is_newest_readable else float("inf")

    def apply_document(self, key: str, value: bytes, row_version: int) -> None:
        """Apply one document.

        Raises:
            ProtocolError: The document can't be decoded.
        """
        if key == ROUTING_KEY:
            self.is_newest_readable = False
            self.apply_routing(decode_routing(value), row_version)
            self.is_newest_readable = True
        elif key.startswith(NAMED_VERSION_PREFIX):
            named = decode_named_version(value)
            if named.version > self.named_versions.get(named.model, 0):
                self.named_versions[named.model] = named.version
                log.info("version named", model=named.model, version=named.version)

    def apply_routing(self, table: RoutingTable, row_version: int) -> None:
        """Apply a configuration if it is newer than the one in force."""
        previous_version = self.table.version if self.table else 0
        if table.version <= previous_version:
            return
        self.table = table
        log.info(
            "configuration in force",
            version=table.version,
            before=previous_version,
            row_version=row_version,
            routes=len(table.routes),
            teams=len(table.teams),
        )

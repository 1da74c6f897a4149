"""Adoption of configurations from the platform's table and from peers."""

import random
from collections import deque
from collections.abc import Callable

import anyio
import structlog

from balsamcleat.configuration import (
    NumberedConfiguration,
    SnapshotRecord,
    decode_stored_record,
    encode_snapshot,
    verify_snapshot,
)
from balsamcleat.configuration.store import HEAD_KEY, ConfigurationStore, HeadRow
from balsamcleat.decisions.adoption import AdoptionResult, ConfigurationAdoption
from balsamcleat.decisions.read_pace import ReadPacer
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.model import ConfigurationVersion
from balsamcleat.model.peer import ConfigurationBody, ConfigurationDigest
from balsamcleat.ports import Clock, Metrics, ObjectStore, Table

__all__ = ["HEAD_KEY", "ConfigurationKeeper"]

READ_INTERVAL_S = 1.0
# One twentieth of the 2000 reads per second that the table can serve.
SYSTEM_READS_PER_S = 100.0
MAX_RECENT_CHANGES = 512
MAX_RECENT_BYTES = 1024 * 1024

log = structlog.get_logger()


class ConfigurationKeeper:
    """Holds the configuration in force; its users read ``current`` and wait for ``changed``.

    Args:
        table: Table of the platform.
        clock: Clock for the read interval.
        generator: Draws the jitter of the read interval.
        metrics: Receives the counters.
        objects: Object store, for large changes and snapshots.
        count_vms: Returns the number of VMs that share the rate of reads.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        objects: ObjectStore | None = None,
        count_vms: Callable[[], int] = lambda: 1,
    ) -> None:
        self.store = ConfigurationStore(table, objects)
        self.clock = clock
        self.metrics = metrics
        self.count_vms = count_vms
        self.read_pace = ReadPacer(READ_INTERVAL_S, SYSTEM_READS_PER_S, generator)
        self.adoption = ConfigurationAdoption()
        self.changed = anyio.Event()
        self.recent_changes: deque[ConfigurationBody] = deque()
        self.recent_bytes = 0

    @property
    def current(self) -> NumberedConfiguration:
        """Configuration in force on this VM."""
        return self.adoption.current

    def digest(self) -> ConfigurationDigest:
        """Return the version and digest of the configuration in force, as announced to peers."""
        return ConfigurationDigest(ConfigurationVersion(self.current.version), self.current.digest)

    # Adoption of configurations.

    def offer(self, record: NumberedConfiguration, source: str) -> bool:
        """Adopt a configuration if it is newer; return whether it was adopted."""
        previous = self.current
        if not self.adoption.adopt_if_newer(record):
            return False
        self.record_adoption(previous, source)
        return True

    def offer_body(self, body: ConfigurationBody, source: str) -> None:
        """Adopt a peer's change or snapshot if it is valid and newer."""
        try:
            stored = decode_stored_record(body.record)
            if isinstance(stored, SnapshotRecord):
                self.offer(verify_snapshot(stored), source)
                return
            previous = self.current
            outcome = self.adoption.adopt_change(stored)
        except ProtocolError:
            self.metrics.count("configuration.body.refused")
            return
        self.metrics.count(f"configuration.change.{outcome.value}")
        if outcome is AdoptionResult.ADOPTED:
            self.record_adoption(previous, source)

    def record_adoption(self, previous: NumberedConfiguration, source: str) -> None:
        """Keep the change for peers and notify the users of the configuration."""
        record = self.current
        if record.version != previous.version + 1 or not record.change:
            self.recent_changes.clear()
            self.recent_bytes = 0
        if record.change:
            version = ConfigurationVersion(record.version)
            self.recent_changes.append(ConfigurationBody(version, record.change))
            self.recent_bytes += len(record.change)
        while len(self.recent_changes) > MAX_RECENT_CHANGES or self.recent_bytes > MAX_RECENT_BYTES:
            self.recent_bytes -= len(self.recent_changes.popleft().record)
        log.info("configuration in force", version=record.version, source=source)
        self.metrics.gauge("configuration.version", record.version)
        self.changed.set()
        self.changed = anyio.Event()

    # Configurations for peers.

    def bodies_after(self, after: int) -> tuple[ConfigurationBody, ...]:
        """Return the changes after version ``after``, or a snapshot if they are no longer kept."""
        if self.current.version <= after:
            return ()
        if self.recent_changes and self.recent_changes[0].version <= after + 1:
            self.metrics.count("configuration.changes.sent")
            return tuple(body for body in self.recent_changes if body.version > after)
        self.metrics.count("configuration.snapshot.sent")
        version = ConfigurationVersion(self.current.version)
        return (ConfigurationBody(version, encode_snapshot(self.current)),)

    # Reads of the table.

    async def read_table(self) -> int:
        """Adopt the table's latest configuration; return the row version of its head row.

        Raises:
            PlatformError: The table could not be read.
            ProtocolError: The rows that were read are not a valid history.
        """
        head, row_version = await self.store.read_head()
        if self.adoption.is_behind(head.version):
            await self.apply_changes_up_to(head)
        elif head.version == self.current.version and head.digest not in ("", self.current.digest):
            await self.replace_diverged(head)
        return row_version

    async def apply_changes_up_to(self, head: HeadRow) -> None:
        """Apply the changes up to the head one by one, so that they can be sent to peers."""
        self.metrics.count("configuration.table.behind")
        base = self.current
        if head.version - base.version <= MAX_RECENT_CHANGES:
            for row in await self.store.read_change_rows(base.version):
                previous = self.current
                if (
                    self.adoption.adopt_change(await self.store.decode_change(row.value))
                    is AdoptionResult.ADOPTED
                ):
                    self.record_adoption(previous, "table")
        if self.current.version < head.version:
            self.offer(await self.read_head_configuration(head), "table")

    async def read_head_configuration(self, head: HeadRow) -> NumberedConfiguration:
        """Return the head's configuration, also after a peer has sent a diverging history."""
        try:
            return await self.store.load_head_configuration(self.current, head)
        except ProtocolError:
            record = await self.store.load_version(head.version)
            if record is None or head.digest not in ("", record.digest):
                raise
        self.metrics.count("configuration.corrected")
        return record

    async def replace_diverged(self, head: HeadRow) -> None:
        """Replace a peer's configuration that differs from the table's under the same version."""
        record = await self.store.load_version(head.version)
        if record is None or record.digest != head.digest:
            return
        previous = self.current
        if self.adoption.replace_diverged(record):
            self.metrics.count("configuration.corrected")
            log.error("configuration corrected", version=record.version)
            self.record_adoption(previous, "table")

    async def run(self) -> None:
        """Read the table's head at jittered intervals until cancelled."""
        while True:
            try:
                await self.read_table()
            except (PlatformError, ProtocolError):
                self.metrics.count("configuration.read.failed")
            await self.clock.sleep(self.read_pace.wait_s(self.count_vms()))

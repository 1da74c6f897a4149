"""Cache of the platform's VM list that the VMs of a zone refresh in turns."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec

from balsamcleat.decisions.shared_list import VmListCache
from balsamcleat.decoding import decode_with
from balsamcleat.errors import PlatformError, PlatformUnavailableError
from balsamcleat.model import VmKind, VmRecord, ZoneName
from balsamcleat.ports import Clock, Metrics, VmList

__all__ = ["VMS_CHANGED_NOTICE", "SharedVmList"]

VMS_CHANGED_NOTICE = "vms.changed"
# A notice is sent several times, since lost datagrams are not retransmitted.
NOTICE_REPEATS = 3
NOTICE_REPEAT_INTERVAL_S = 0.2
RECORDS_PER_NOTICE = 6
RETRY_INTERVAL_S = 1.0

RECORDS_DECODER = msgspec.json.Decoder(tuple[VmRecord, ...])


class SharedVmList(VmList):
    """VM list that answers from a cache, updated by own reads and by notices of peers.

    The VMs of a zone together read the list once a second, whatever their number, and send each
    other the changes.

    Args:
        source: VM list of the platform.
        zone: Availability zone of this VM.
        cache: Cached records and the intervals of reads.
        clock: Clock for the intervals.
        metrics: Receives the counters.

    Attributes:
        count_vms: Returns the number of live VMs in the zone, which share the reads.
        broadcast: Sends a notice to the VMs of the zone; None until it is connected.
    """

    def __init__(
        self, source: VmList, zone: ZoneName, cache: VmListCache, clock: Clock, metrics: Metrics
    ) -> None:
        self.source = source
        self.zone = zone
        self.cache = cache
        self.clock = clock
        self.metrics = metrics
        self.count_vms: Callable[[], int] = lambda: 1
        self.broadcast: Callable[[str, bytes], Awaitable[None]] | None = None

    async def records(
        self, zone: ZoneName | None = None, kind: VmKind | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the cached records, optionally of one zone or kind."""
        if not self.cache.has_zone_read:
            raise PlatformUnavailableError("the VM list has not been read yet", step="vms.list")
        return tuple(
            record
            for record in self.cache.records()
            if zone in (None, record.zone) and kind in (None, record.kind)
        )

    async def run(self) -> None:
        """Refresh the cache until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.poll_entry_vms)
            await self.poll_zone(group)

    async def poll_zone(self, group: anyio.abc.TaskGroup) -> None:
        """Read the VMs of the own zone, in turns with the other VMs of the zone."""
        while True:
            try:
                records = await self.source.records(zone=self.zone)
            except PlatformError:
                self.metrics.count("vm_list.read.failed")
                await self.clock.sleep(RETRY_INTERVAL_S * self.cache.generator.uniform(0.5, 1.5))
                continue
            self.metrics.count("vm_list.read")
            changed = self.cache.apply_zone_read(records)
            for start in range(0, len(changed), RECORDS_PER_NOTICE):
                group.start_soon(self.announce_changes, changed[start : start + RECORDS_PER_NOTICE])
            await self.clock.sleep(self.cache.read_interval_s(self.count_vms()))

    async def announce_changes(self, changed: tuple[VmRecord, ...]) -> None:
        """Broadcast changed records to the zone several times."""
        if self.broadcast is None:
            return
        payload = msgspec.json.encode(changed)
        for _ in range(NOTICE_REPEATS):
            await self.broadcast(VMS_CHANGED_NOTICE, payload)
            await self.clock.sleep(NOTICE_REPEAT_INTERVAL_S)

    async def poll_entry_vms(self) -> None:
        """Read the entry VMs of all zones at long intervals."""
        while True:
            try:
                self.cache.apply_remote_read(await self.source.records(kind=VmKind.ENTRY))
            except PlatformError:
                self.metrics.count("vm_list.read.failed")
                await self.clock.sleep(RETRY_INTERVAL_S * self.cache.generator.uniform(0.5, 1.5))
                continue
            await self.clock.sleep(self.cache.remote_interval_s())

    def on_notice(self, payload: bytes) -> None:
        """Update the cache with the changed records in a peer's notice."""
        try:
            records = decode_with(RECORDS_DECODER.decode, payload)
        except msgspec.DecodeError:
            self.metrics.count("vm_list.notice.malformed")
            return
        if self.cache.apply_peer_records(records):
            self.metrics.count("vm_list.notice.new")

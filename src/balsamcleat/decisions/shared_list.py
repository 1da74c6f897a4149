"""Cache of the VM list, which the VMs of a zone take turns to read."""

import random

from balsamcleat.model import VmId, VmKind, VmRecord, ZoneName

__all__ = ["VmListCache"]

# Mean interval between two reads of the list by any VM of the zone.
ZONE_READ_INTERVAL_S = 1.0
# Maximum mean interval between two reads of the same VM.
MAX_READ_INTERVAL_S = 45.0
# Long, because the entry VMs of other zones change rarely and are of little importance.
REMOTE_READ_INTERVAL_S = 300.0


class VmListCache:
    """VMs of the own zone and entry VMs of other zones, from own reads and from peers.

    A VM that was reported as leaving remains leaving until this VM's own read no longer lists it:
    neither a stale read nor a peer's older view reverts the status.

    Args:
        zone: Availability zone of this VM.
        generator: Random generator for jitter.
    """

    def __init__(self, zone: ZoneName, generator: random.Random) -> None:
        self.zone = zone
        self.generator = generator
        self.zone_records: dict[VmId, VmRecord] = {}
        self.remote_records: dict[VmId, VmRecord] = {}
        self.has_zone_read = False

    def records(self) -> tuple[VmRecord, ...]:
        """Return all known records."""
        return (*self.zone_records.values(), *self.remote_records.values())

    def read_interval_s(self, live_vm_count: int) -> float:
        """Return the time until the next zone read of this VM, in seconds.

        Args:
            live_vm_count: Number of live entry VMs in the zone, including this VM.
        """
        interval_s = min(MAX_READ_INTERVAL_S, ZONE_READ_INTERVAL_S * max(1, live_vm_count))
        return interval_s * self.generator.uniform(0.5, 1.5)

    def remote_interval_s(self) -> float:
        """Return the time until the next read of the entry VMs of other zones, in seconds."""
        return REMOTE_READ_INTERVAL_S * self.generator.uniform(0.5, 1.5)

    def apply_zone_read(self, records: tuple[VmRecord, ...]) -> tuple[VmRecord, ...]:
        """Apply an own read of the zone; return the changed records to send to peers.

        The first read returns none, because it contains no changes.
        """
        is_first_read = not self.has_zone_read
        self.has_zone_read = True
        listed_ids = {record.vm_id for record in records}
        for vm_id in self.zone_records.keys() - listed_ids:
            del self.zone_records[vm_id]
        changed = tuple(record for record in records if self.merge_record(record))
        return () if is_first_read else changed

    def apply_remote_read(self, records: tuple[VmRecord, ...]) -> None:
        """Apply an own read of all entry VMs."""
        self.remote_records = {
            record.vm_id: record
            for record in records
            if record.zone != self.zone and record.kind is VmKind.ENTRY
        }

    def apply_peer_records(self, records: tuple[VmRecord, ...]) -> bool:
        """Apply records received from a peer; return whether any of them was new."""
        return any([self.merge_record(record) for record in records if record.zone == self.zone])

    def merge_record(self, record: VmRecord) -> bool:
        """Merge one record of the own zone; return whether it changed the cache."""
        known = self.zone_records.get(record.vm_id)
        has_moved = known is not None and (known.http_address, known.peer_address) != (
            record.http_address,
            record.peer_address,
        )
        if known is not None and known.leaving and not has_moved:
            return False
        if known == record:
            return False
        self.zone_records[record.vm_id] = record
        return True

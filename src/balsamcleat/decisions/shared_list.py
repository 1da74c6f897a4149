"""Decide what is known of the VM list when the nodes of a zone read it in turns."""

import random

from balsamcleat.model import VmId, VmKind, VmRecord, ZoneName

__all__ = ["VmListCache"]

# The zone as a whole reads the list this often.
ZONE_READ_INTERVAL_S = 1.0
# No node goes longer than this without reading for itself.
MAX_READ_INTERVAL_S = 45.0
# The entry VMs of all other zones change rarely and matter little.
REMOTE_READ_INTERVAL_S = 300.0


class VmListCache:
    """The own zone's VMs and everybody's entry VMs, from own reads and from peers' news.

    A VM that was called leaving stays leaving until a read of our own no longer lists it: neither
    a lagging read nor a peer's older view brings it back.

    Args:
        zone: The own availability zone.
        generator: Draws jitter.
    """

    def __init__(self, zone: ZoneName, generator: random.Random) -> None:
        self.zone = zone
        self.generator = generator
        self.zone_records: dict[VmId, VmRecord] = {}
        self.remote_records: dict[VmId, VmRecord] = {}
        self.has_zone_read = False

    def records(self) -> tuple[VmRecord, ...]:
        """Return all that is known."""
        return (*self.zone_records.values(), *self.remote_records.values())

    def read_interval_s(self, population: int) -> float:
        """Return the time until this node's next read.

        Args:
            population: Entry VMs alive in the zone, this one included.
        """
        interval_s = min(MAX_READ_INTERVAL_S, ZONE_READ_INTERVAL_S * max(1, population))
        return interval_s * self.generator.uniform(0.5, 1.5)

    def remote_interval_s(self) -> float:
        """Return the time until the next read of the other zones' entry VMs."""
        return REMOTE_READ_INTERVAL_S * self.generator.uniform(0.5, 1.5)

    def apply_zone_read(self, records: tuple[VmRecord, ...]) -> tuple[VmRecord, ...]:
        """Take an own read of the zone; returns what peers should be told."""
        first = not self.has_zone_read
        self.has_zone_read = True
        listed = {record.vm_id for record in records}
        for vm_id in self.zone_records.keys() - listed:
            del self.zone_records[vm_id]
        changed = tuple(record for record in records if self.merge_record(record))
        return () if first else changed

    def apply_remote_read(self, records: tuple[VmRecord, ...]) -> None:
        """Take an own read of all entry VMs."""
        self.remote_records = {
            record.vm_id: record
            for record in records
            if record.zone != self.zone and record.kind is VmKind.ENTRY
        }

    def apply_peer_records(self, records: tuple[VmRecord, ...]) -> bool:
        """Take news from a peer; returns whether any of it was new."""
        return any([self.merge_record(record) for record in records if record.zone == self.zone])

    def merge_record(self, record: VmRecord) -> bool:
        """Take one record of the own zone; returns whether it says something new."""
        known = self.zone_records.get(record.vm_id)
        moved = known is not None and (known.http_address, known.peer_address) != (
            record.http_address,
            record.peer_address,
        )
        if known is not None and known.leaving and not moved:
            return False
        if known == record:
            return False
        self.zone_records[record.vm_id] = record
        return True

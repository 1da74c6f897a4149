"""Choose the VMs that remember which software began a stream.

Load pattern: a VM is killed while it relays many streams, and their callers come back to other
VMs, all at once. Asking every VM, or the row store, would cost a call a VM or a write a stream.
Instead each stream has a few keepers, which any VM finds by the stream's id: the next VMs on a ring
of hashes. Two VMs whose views differ by some VMs still find common keepers.
"""

from bisect import bisect
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from balsamcleat.decisions.vm_watch import VmRow

__all__ = ["KeeperRing"]


@dataclass(frozen=True, slots=True)
class KeeperRing:
    """Live VMs in the order of their hashes.

    Attributes:
        rows: Rows of the VMs, ordered by hash.
        hashes: Hashes of the VMs' names.
    """

    rows: tuple[VmRow, ...] = ()
    hashes: tuple[int, ...] = ()

    @classmethod
    def of(cls, rows: Iterable[VmRow]) -> "KeeperRing":
        """Return the ring of the VMs that other VMs reach."""
        ordered = sorted(
            ((ring_hash(row.vm), row) for row in rows if row.address),
            key=lambda entry: entry[0],
        )
        return cls(tuple(row for _, row in ordered), tuple(hashed for hashed, _ in ordered))

    def keepers(self, stream: str, count: int) -> list[VmRow]:
        """Return the first VMs on the ring after a stream's hash, at most ``count``."""
        if not self.rows:
            return []
        first = bisect(self.hashes, ring_hash(stream))
        size = len(self.rows)
        return [self.rows[(first + step) % size] for step in range(min(count, size))]


def ring_hash(name: str) -> int:
    """Return the place of a name on the ring."""
    return xxhash.xxh64_intdigest(name.encode())

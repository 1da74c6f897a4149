"""Decide which VMs should own a thing, with little movement when VMs come and go."""

from collections.abc import Sequence

import xxhash

from balsamcleat.model import VmId

__all__ = ["ownership_rank", "preferred_owners"]


def preferred_owners(name: str, vms: Sequence[VmId], count: int) -> tuple[VmId, ...]:
    """Return the ``count`` VMs that should own ``name``, best first.

    Rendezvous hashing: a VM that leaves moves only what it owned, and one that comes takes only
    its own share. Every VM with the same view gives the same answer.
    """
    ranked = sorted(vms, key=lambda vm: rendezvous_weight(name, vm))
    return tuple(ranked[-count:][::-1])


def ownership_rank(vm_id: VmId, name: str, vms: Sequence[VmId]) -> int:
    """Return how many VMs should own ``name`` rather than ``vm_id``."""
    own = rendezvous_weight(name, vm_id)
    return sum(rendezvous_weight(name, vm) > own for vm in vms if vm != vm_id)


def rendezvous_weight(name: str, vm: VmId) -> tuple[int, VmId]:
    """Return how strongly ``name`` is drawn to the VM; equal hashes go by id."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{vm}".encode()), vm

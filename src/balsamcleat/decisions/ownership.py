"""Rendezvous hashing: assign names to VMs with few reassignments when VMs join or leave."""

from collections.abc import Sequence

import xxhash

from balsamcleat.model import VmId

__all__ = ["ownership_rank", "preferred_owners"]


def preferred_owners(name: str, vms: Sequence[VmId], count: int) -> tuple[VmId, ...]:
    """Return the ``count`` VMs that should own ``name``, in order of preference.

    Rendezvous hashing: a VM that leaves causes only its own names to be reassigned, and a VM that
    joins receives only its own share. VMs with the same view compute the same result.
    """
    ranked = sorted(vms, key=lambda vm: rendezvous_weight(name, vm))
    return tuple(ranked[-count:][::-1])


def ownership_rank(vm_id: VmId, name: str, vms: Sequence[VmId]) -> int:
    """Return how many other VMs are preferred over ``vm_id`` as the owner of ``name``."""
    own_weight = rendezvous_weight(name, vm_id)
    return sum(rendezvous_weight(name, vm) > own_weight for vm in vms if vm != vm_id)


def rendezvous_weight(name: str, vm: VmId) -> tuple[int, VmId]:
    """Return the rendezvous weight of a VM for ``name``; the VM id breaks ties of the hash."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{vm}".encode()), vm

"""Reports of VMs about targets' rate limits, and the part of a limit that follows from them.

Load pattern: few of many VMs have most of the demand, and which ones changes within seconds. All
compute from the same published reports, so that the parts add up without a word between VMs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from balsamcleat.model import ServiceName

__all__ = [
    "EVEN_PART",
    "LimitNotice",
    "LimitReport",
    "ServiceParts",
    "VmDemand",
    "compute_parts",
]

# Part of a limit that is split evenly, so that each VM can start and learns when a limit ends.
EVEN_PART = 0.1


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What a VM last saw of a target's limit.

    Attributes:
        limit_per_s: Requests per second that the target accepts, or None if it named none.
        age_s: Time since the response that said so, in seconds.
    """

    limit_per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a VM publishes about limits.

    Attributes:
        demands: Weighted requests per second that the VM wants to send, by service.
        notices: What the VM saw of limits lately, by target.
    """

    demands: Mapping[str, float] = field(default_factory=dict)
    notices: Mapping[str, LimitNotice] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class VmDemand:
    """Published report of a live VM.

    Attributes:
        vm: Name of the VM.
        report: Report in the VM's row.
        age_s: Time since the row changed, in seconds.
    """

    vm: str
    report: LimitReport
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceParts:
    """This VM's part of the limits at a service's targets.

    Attributes:
        part: Part of each limit, from 0 to 1.
        begins_at: Sum of the parts of the VMs before this one, from 0 to 1.
    """

    part: float
    begins_at: float


def compute_parts(view: tuple[VmDemand, ...], vm: str, service: ServiceName) -> ServiceParts:
    """Return the part of a VM, computed from the reports of all live VMs alike."""
    if not view:
        return ServiceParts(0.0, 0.0)
    demands = {row.vm: max(0.0, row.report.demands.get(service, 0.0)) for row in view}
    even = 1.0 / len(demands)
    if vm not in demands:
        # The others don't know this VM yet.
        return ServiceParts(EVEN_PART * even, 0.0)
    total = sum(demands.values())
    if not total:
        return ServiceParts(even, even * sorted(demands).index(vm))
    earlier = [name for name in demands if name < vm]
    earlier_demand = sum(demands[name] for name in earlier) / total
    begins_at = EVEN_PART * even * len(earlier) + (1.0 - EVEN_PART) * earlier_demand
    return ServiceParts(EVEN_PART * even + (1.0 - EVEN_PART) * demands[vm] / total, begins_at)

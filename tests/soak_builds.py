"""Builds side by side in the soak: VMs are replaced by those of another build, forth and back."""

from functools import partial
from itertools import pairwise
from pathlib import Path

import anyio

from balsamcleat.ports.duties import Duty, UsageReport
from balsamcleat.standins.duty_platform import DutyPlatform, broken_rules
from soak_faults import SoakFaults

__all__ = ["AUTHORIZATION", "TENANTS", "broken_duties", "replace_vms"]

KEY = "rjvz48wuakn2ftimaj3n"
AUTHORIZATION = ("Authorization", f"Bearer {KEY}")
# VMs of a build without teams ignore this part of the configuration.
TENANTS = [{"name": "huka270", "apiKeys": [KEY]}]
MS_PER_S = 1000.0
# A started VM is ready within this time while nothing fails.
READY_S = 2.0


async def replace_vms(faults: SoakFaults, other_sources: Path) -> None:
    """Replace the VMs of the other build by those of this one, and roll all back again.

    There is time for each one to become ready before the next one is replaced.
    """
    for sources in (None, other_sources):
        for vm in faults.vms:
            vm.sources = sources
            # As after any other restart, the VM is not in touch with the others at once.
            await faults.do(partial(faults.restart, vm))
            await anyio.sleep(READY_S)


def broken_duties(platform: DutyPlatform, lease_s: float) -> list[str]:
    """Return how calls to the interface for duties break the rules for holders and for reports."""
    broken = broken_rules(platform.calls, lease_s * MS_PER_S)
    accepted: dict[int, list[UsageReport]] = {}
    for call in platform.accepted(Duty.USAGE):
        assert isinstance(call.content, UsageReport)
        accepted.setdefault(call.content.window, []).append(call.content)
    for window, reports in accepted.items():
        if any(first.counts != second.counts for first, second in pairwise(reports)):
            broken.append(f"window {window} was reported with other counts: {reports}")
    return broken

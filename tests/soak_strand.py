"""Links of single VMs to all targets in the soak, which can be cut, and the check of RECOVER."""

from dataclasses import dataclass, field

from soak_link import SoakLink

# The operators' rule: from this long after a cut on, the callers of VMs that lost their links are
# served at least two thirds as often as the others, unless hardly any call fails.
RECOVERED_AFTER_S = 3.0
SERVED_SHARE = 2.0 / 3.0
FREE_FAILURES = 10
FAILURES_PER_CALL = 1.0 / 50.0


@dataclass(frozen=True)
class Stranding:
    """VMs that had lost their links, and when."""

    vms: frozenset[str]
    began_s: float
    ended_s: float


@dataclass(frozen=True)
class Disturbance:
    """Fault at a VM's process or at its way to the store; the rule leaves such a VM out."""

    vm: str
    began_s: float
    ended_s: float

    def covers(self, vm: str, at_s: float) -> bool:
        """Return whether the VM was disturbed then, or a short while before."""
        return vm == self.vm and self.began_s <= at_s < self.ended_s + RECOVERED_AFTER_S


@dataclass
class CallLog:
    """First tries of calls: when they were sent, to which VM, and whether they were served."""

    calls: list[tuple[float, str, bool]] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)

    def served_share(self, stranding: Stranding, *, stranded: bool) -> tuple[float, int, int]:
        """Return share served, calls and failures at the VMs that were stranded, or the others."""
        served = [
            was_served
            for sent_s, vm, was_served in self.calls
            if stranding.began_s + RECOVERED_AFTER_S <= sent_s < stranding.ended_s
            and (vm in stranding.vms) is stranded
            and not any(disturbance.covers(vm, sent_s) for disturbance in self.disturbances)
        ]
        return sum(served) / len(served) if served else 1.0, len(served), served.count(False)

    def broken(self, stranding: Stranding) -> str:
        """Return how RECOVER was broken, or an empty string."""
        share, count, failures = self.served_share(stranding, stranded=True)
        other_share, _, _ = self.served_share(stranding, stranded=False)
        few = failures <= FREE_FAILURES + FAILURES_PER_CALL * count
        if few or share >= SERVED_SHARE * other_share:
            return ""
        return f"{sorted(stranding.vms)} served {share:.2f} of {count}, others {other_share:.2f}"


async def cut(links: list[SoakLink], how: str) -> None:
    """Refuse new connections; reset the established ones, silence them, or let them live."""
    for link in links:
        link.refuse()
        if how == "reset":
            link.reset()
        elif how == "silent":
            link.drops_requests = link.drops_answers = True


async def heal(links: list[SoakLink], how: str) -> None:
    """Accept connections again; connections that were silenced have lost bytes."""
    for link in links:
        link.start()
        if how == "silent":
            link.drops_requests = link.drops_answers = False
            link.reset()

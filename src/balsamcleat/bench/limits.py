"""The experiment on rate limits: the shared limit against equal parts, by number of VMs."""

from dataclasses import dataclass
from pathlib import Path

from balsamcleat.bench.limit_model import LIMIT_POLICIES, LimitFigures, LimitLoad, play_limit
from balsamcleat.bench.report import Report, Table

__all__ = ["LIMIT_LOADS", "LimitOutcome", "run_limits"]

POLICY = "shared"
VM_COUNTS = (1, 12, 195)
LIMITS_PER_S = (1.0, 5.0, 40.0)
OWNER_RATE_PER_S = 60.0
OWNER_TURN_S = 3.0
BURST_RATE_PER_S = 30.0
BURST_PERIOD_S = 4.0
BURST_S = 0.5
EVEN_RATE_PER_S = 2.0


def owner(number: int, now_s: float) -> float:
    """Return the arrivals where one VM owns a trainer's step."""
    return OWNER_RATE_PER_S if number == 0 else 0.0


def moving_owner(number: int, now_s: float) -> float:
    """Return the arrivals where another VM has most of the load every few seconds."""
    return OWNER_RATE_PER_S if number == int(now_s // OWNER_TURN_S) % 5 else 0.0


def everywhere(number: int, now_s: float) -> float:
    """Return the arrivals where all VMs have the same load."""
    return EVEN_RATE_PER_S


def waves(number: int, now_s: float) -> float:
    """Return the arrivals where all VMs are idle and then all busy at once."""
    return BURST_RATE_PER_S if now_s % BURST_PERIOD_S < BURST_S else 0.0


LIMIT_LOADS = {
    "one owner": owner,
    "moving owner": moving_owner,
    "everywhere": everywhere,
    "waves": waves,
}


@dataclass(frozen=True, slots=True)
class LimitOutcome:
    """The experiment's report as text, and the bounds that it broke."""

    text: str
    broken_bounds: tuple[str, ...]


def run_limits(
    seed: int, duration_s: float, folder: Path, vm_counts: tuple[int, ...] = VM_COUNTS
) -> LimitOutcome:
    """Run the experiment and write its report.

    Args:
        seed: Gives the same figures again.
        duration_s: Virtual seconds of each run.
        folder: Where the table goes.
        vm_counts: Numbers of VMs.
    """
    rows: list[tuple[str | float, ...]] = []
    broken = []
    for vm_count in vm_counts:
        for limit_per_s in LIMITS_PER_S:
            for name, rate_per_s in LIMIT_LOADS.items():
                load = LimitLoad(vm_count, limit_per_s, rate_per_s, duration_s)
                for policy in LIMIT_POLICIES:
                    figures = play_limit(load, policy, seed)
                    rows.append((vm_count, limit_per_s, name, policy, *cells(figures)))
                    if policy == POLICY and figures.most_in_window > figures.allowed_in_window:
                        broken.append(f"{vm_count} VMs, {limit_per_s}/s, {name}: over the limit")
    columns = ("VMs", "limit/s", "load", "policy", "used", "above", "most in 4 s", "allowed")
    report = Report("limits", seed, [Table("Use of a target's rate limit", columns, tuple(rows))])
    report.write(folder)
    return LimitOutcome(report.text(), tuple(broken))


def cells(figures: LimitFigures) -> tuple[float, float, int, float]:
    """Return share used, share above in the worst window, most requests in it, and the bound."""
    return (
        round(figures.used_share, 2),
        round(figures.excess_share, 2),
        figures.most_in_window,
        figures.allowed_in_window,
    )

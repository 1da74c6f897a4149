"""Experiments on the spread and the cost of configurations."""

import gc
import math
import time
import tracemalloc
from dataclasses import dataclass, field
from pathlib import Path

import structlog

from balsamcleat.bench.control_model import ControlModel, drain_patch, sized_configuration
from balsamcleat.bench.report import Report, Table
from balsamcleat.configuration import (
    ChangeRecord,
    apply_change,
    decode_and_verify,
    decode_stored_record,
    encode_snapshot,
    initial_configuration,
)
from balsamcleat.decisions.lease import LEASE_TERM_S
from balsamcleat.tasks.configuration_keeper import MAX_RECENT_BYTES, SYSTEM_READS_PER_S
from balsamcleat.tasks.lease_keeper import (
    CONTENDER_READ_INTERVAL_S,
    CONTENDERS_PER_LEASE,
    MAX_NON_CONTENDER_READ_INTERVAL_S,
    NON_CONTENDER_READ_INTERVAL_S,
    RENEW_INTERVAL_S,
)

__all__ = ["ControlOutcome", "Spread", "bytes_per_s", "run_control", "spread", "worst_spread"]

SMALL_NODES = 12
LARGE_NODES = 1_500
CHANGES_PER_DAY = 7_700
DAY_S = 86_400.0
SMALL_BOUND_S = 2.0
LARGE_BOUND_S = 17.0
BYTES_BOUND_PER_S = 9_000.0
WARM_UP_S = 3.0
CUT_S = 30.0
OBSERVED_S = 40.0
SLOPE_NODES = (12, 50, 100, 200)
TARGETS = 10_000
SMALL_TARGETS = 50
LEASES = 60
REPEATS = 5
MEMORY_VERSIONS = 20
MEBIBYTE = 1024.0 * 1024.0


@dataclass(frozen=True, slots=True)
class Spread:
    """How a version came into force.

    Attributes:
        seconds: Until the last node had it.
        bytes_per_node: Bytes of configuration records received by each node, on average.
    """

    seconds: float
    bytes_per_node: float


@dataclass
class ControlOutcome:
    """The report and the bounds that were broken."""

    text: str
    broken_bounds: list[str] = field(default_factory=list)


def spread(situation: str, nodes: int, seed: int, loss: float = 0.0) -> Spread:
    """Measure one spread in virtual time.

    Args:
        situation: ``table up``, ``table down`` or ``healed cut``.
        nodes: How many nodes there are.
        seed: Seeds all draws.
        loss: Share of datagrams that are lost.
    """
    model = ControlModel(nodes, 3, SMALL_TARGETS, seed, loss)
    model.time.run(WARM_UP_S)
    if situation == "healed cut":
        model.cut_zone("zone-2", True)
    model.accept("address-0")
    if situation == "table down":
        model.table.down = True
    start_s = model.time.now_s
    if situation == "healed cut":
        model.time.run(start_s + CUT_S)
        model.cut_zone("zone-2", False)
        start_s = model.time.now_s
    while model.in_force_at_s is None and model.time.now_s < start_s + OBSERVED_S:
        model.time.run(model.time.now_s + 0.1)
    seconds = math.inf if model.in_force_at_s is None else model.in_force_at_s - start_s
    return Spread(seconds, model.configuration_bytes / nodes)


def worst_spread(situation: str, nodes: int, seeds: range, loss: float = 0.0) -> Spread:
    """Return the slowest of several spreads, with the highest cost."""
    found = [spread(situation, nodes, seed, loss) for seed in seeds]
    return Spread(max(item.seconds for item in found), max(item.bytes_per_node for item in found))


def bytes_per_s(cost: Spread) -> float:
    """Return what a node receives for configurations at the size to design for, bytes a second."""
    return cost.bytes_per_node * CHANGES_PER_DAY / DAY_S


def situations_table(seed: int) -> tuple[Table, list[str]]:
    """Measure the small system in each situation."""
    rows: list[tuple[str | float, ...]] = []
    broken: list[str] = []
    for situation in ("table up", "table down", "healed cut"):
        for loss in (0.0, 0.2):
            worst = worst_spread(situation, SMALL_NODES, range(seed, seed + 10), loss)
            rows.append((situation, loss, worst.seconds, worst.bytes_per_node))
            if worst.seconds > SMALL_BOUND_S:
                broken.append(f"{situation}, loss {loss}: {worst.seconds:.2f} s")
    columns = ("situation", "loss", "worst of 10, s", "bytes a node")
    return Table(f"A version in force on {SMALL_NODES} nodes", columns, tuple(rows)), broken


def slope_table(seed: int) -> tuple[Table, list[str]]:
    """Measure growing systems and give the slope at the size to design for."""
    points = [
        (nodes, worst_spread("table down", nodes, range(seed, seed + 3))) for nodes in SLOPE_NODES
    ]
    rows: list[tuple[str | float, ...]] = [
        (nodes, "measured", item.seconds, bytes_per_s(item)) for nodes, item in points
    ]
    (few, low), (many, high) = points[0], points[-1]
    # The spread doubles its reach in each round, so it goes with the logarithm.
    growth = max(0.0, (high.seconds - low.seconds) / math.log2(many / few))
    seconds = high.seconds + growth * math.log2(LARGE_NODES / many)
    cost = bytes_per_s(Spread(seconds, max(item.bytes_per_node for _, item in points)))
    rows.append((LARGE_NODES, "modelled", seconds, cost))
    broken = [] if seconds <= LARGE_BOUND_S else [f"{LARGE_NODES} nodes: {seconds:.1f} s"]
    if cost > BYTES_BOUND_PER_S:
        broken.append(f"{LARGE_NODES} nodes: {cost:.0f} bytes/s")
    columns = ("nodes", "how", "worst of 3, s", "bytes/s a node at 7,700 changes a day")
    return Table("Slope, table down after acceptance", columns, tuple(rows)), broken


def best_ms(action: object) -> float:
    """Return the shortest of several runs, in milliseconds of wall time."""
    assert callable(action)
    found: list[float] = []
    for _ in range(REPEATS):
        gc.collect()
        start = time.perf_counter()
        action()
        found.append((time.perf_counter() - start) * 1000.0)
    return min(found)


def cost_table() -> Table:
    """Compare applying a change with taking a whole body, at ten thousand targets."""
    base = initial_configuration(sized_configuration(TARGETS), "bench", "first")
    made = drain_patch(base)
    whole = encode_snapshot(made)
    change = decode_stored_record(made.change)
    assert isinstance(change, ChangeRecord)
    apply_ms = best_ms(lambda: apply_change(base, change))
    whole_ms = best_ms(lambda: decode_and_verify(whole))
    submit_ms = best_ms(lambda: drain_patch(base))
    per_day = CHANGES_PER_DAY / DAY_S / 10.0
    rows = (
        ("a change", float(len(made.change)), apply_ms, 1.0, apply_ms * per_day),
        ("a whole body", float(len(whole)), whole_ms, whole_ms / apply_ms, whole_ms * per_day),
        ("making a change", 0.0, submit_ms, submit_ms / apply_ms, submit_ms * per_day),
    )
    columns = ("what", "bytes", "ms", "ratio", "% of a core at 7,700 a day")
    return Table(f"Cost at {TARGETS} targets, wall time", columns, rows)


def memory_table() -> Table:
    """Measure what a configuration of ten thousand targets keeps in memory."""
    whole = encode_snapshot(initial_configuration(sized_configuration(TARGETS), "bench", "first"))
    gc.collect()
    tracemalloc.start()
    record = decode_and_verify(whole)
    first_bytes = tracemalloc.get_traced_memory()[0]
    versions = [record]
    for _ in range(MEMORY_VERSIONS):
        versions.append(drain_patch(versions[-1]))
    more_bytes = (tracemalloc.get_traced_memory()[0] - first_bytes) / MEMORY_VERSIONS
    tracemalloc.stop()
    rows = (
        ("the configuration in force", first_bytes / MEBIBYTE),
        ("each older version still referred to", more_bytes / MEBIBYTE),
        ("changes kept for peers, at most", MAX_RECENT_BYTES / MEBIBYTE),
    )
    return Table(f"Memory at {TARGETS} targets", ("what", "MiB"), rows)


def rate_table() -> Table:
    """Give what the table sees at the size to design for, from the code's constants."""
    rows = (
        ("reads of the head", min(SYSTEM_READS_PER_S, LARGE_NODES / 1.0), 0.0),
        ("changes", CHANGES_PER_DAY / DAY_S * 2, CHANGES_PER_DAY / DAY_S),
        (f"renewals of {LEASES} leases", LEASES / RENEW_INTERVAL_S, LEASES / RENEW_INTERVAL_S),
        (f"watching {LEASES} leases", LEASES * looks_per_s(), 0.0),
    )
    title = f"Table at {LARGE_NODES} nodes, worst case, lease term {LEASE_TERM_S:g} s"
    return Table(title, ("what", "reads/s", "writes/s"), rows)


def looks_per_s() -> float:
    """Return how often all nodes together look at a lease that another holds, each second."""
    rare = sum(
        1.0 / min(MAX_NON_CONTENDER_READ_INTERVAL_S, NON_CONTENDER_READ_INTERVAL_S * rank)
        for rank in range(CONTENDERS_PER_LEASE, LARGE_NODES)
    )
    return (CONTENDERS_PER_LEASE - 1) / CONTENDER_READ_INTERVAL_S + rare


def run_control(seed: int, folder: Path) -> ControlOutcome:
    """Run all experiments and write the report.

    Args:
        seed: Gives the same figures again, but for wall time.
        folder: Where the report goes.
    """
    # Thousands of nodes that come into force would fill the terminal.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    situations, broken = situations_table(seed)
    slope, too_much = slope_table(seed)
    report = Report(
        "control", seed, [situations, slope, cost_table(), memory_table(), rate_table()]
    )
    report.write(folder)
    return ControlOutcome(report.text(), broken + too_much)

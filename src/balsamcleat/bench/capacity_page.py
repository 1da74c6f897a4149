"""Write docs/CAPACITY.md from measured slopes."""

from pathlib import Path

from balsamcleat.bench.capacity import Capacity, RoleNeed, Total, work_out
from balsamcleat.bench.probes import Quantity
from balsamcleat.bench.report import Table
from balsamcleat.bench.scale import LIMITS, SCALE
from balsamcleat.bench.slopes import SlopeBook, slope_table
from balsamcleat.tasks.configuration_keeper import MAX_RECENT_CHANGES

__all__ = ["MECHANISMS", "page_text", "write_page"]

# For each role: its state, its messages, and the mechanism that carries it.
MECHANISMS: tuple[tuple[str, str, str, str], ...] = (
    (
        "entry for callers",
        "calls in flight, bounded queues by service, one response slot an attempt",
        "HTTP in, HTTP to the target; no message to a peer",
        "a pure router that looks at a few targets of the own zone, not at all of them",
    ),
    (
        "entry on the platform",
        "calls in flight, a queue by plain service, one exchange a connection",
        "HTTP in, HTTP to the target; no message to a peer",
        "one sans-I/O parser at both ends, events passed on in one piece",
    ),
    (
        "target watch",
        "the own zone's replicas in detail, others as one digest a zone and service",
        "questions to engines by the node on duty for them; news to the zone's nodes",
        "rendezvous hashing shares the questions among a zone's nodes",
    ),
    (
        "membership",
        "the own zone's peers with health, all others as a listed address",
        "probes, answers, indirect probes; a heartbeat a second to another zone",
        "suspicion before death, refutation by incarnation, zone summaries by age",
    ),
    (
        "VM list",
        "the own zone's VMs and all entry VMs",
        "one read of the zone's part a second for the whole zone; changes as news",
        "reading in turns; what leaves stays leaving",
    ),
    (
        "configuration",
        "the newest body, its two-level digest, recent changes (at most 1 MiB)",
        "a digest on every heartbeat; verified changes, not bodies, from peers",
        "compare-and-set of one head row; chained digests; table reads paced by population",
    ),
    (
        "leases",
        "one order lease for each service and zone",
        "conditional writes, many renewals in a commit, read back",
        "epochs, monotonic clocks with a margin, rendezvous ranking of candidates",
    ),
    (
        "step owner (six nodes)",
        "the step's samples until they are acknowledged",
        "generations to engines, batches to the trainer, spooled groups to objects",
        "epoch-conditional rows; the trainer's own bitmap fences owners",
    ),
    (
        "weight orders (a node in each zone)",
        "what each engine of the zone has loaded",
        "an order and a question to each engine for each version",
        "waves under the weight store's limit, one holder for each service and zone",
    ),
    (
        "claims (a committer in each zone)",
        "claims waiting for the next commit, bounded",
        "a claim forwarded to the zone's committer; one transaction for many",
        "group commit by window; only keyed calls that are not idempotent are claimed",
    ),
    (
        "audit",
        "lines waiting for the table, bounded",
        "one row a change, in the change's own transaction",
        "bounded rows, older ones archived in objects",
    ),
)


# For a sum that does not fit, the change of design that would mend it.
MENDS = {
    "entry for callers, processor": (
        "  A frame costs much the same whether it carries four tokens or forty, and the HTTP",
        "  libraries take most of it ('bench wall' sets the node beside a bare hop). What would",
        "  mend it: engines that send fewer, larger frames, or several entry processes on a VM.",
    )
}

NOT_COUNTED = """## Not counted

- Ranking which node asks which engine, done once for each round of load reports.
- Garbage collection of a process that holds much more than a probe does.
- The delay between regions, which adds to every time that is modelled with one delay.
- Object puts: a step spools at most four objects a second and one for each batch.
"""


def write_page(book: SlopeBook, path: Path) -> None:
    """Write the page.

    Args:
        book: The measured costs.
        path: Where it goes.
    """
    path.write_text(page_text(book))


def page_text(book: SlopeBook) -> str:
    """Return the page."""
    capacity = work_out(book)
    return "\n".join(
        (
            opening(),
            totals_table(capacity).markdown(),
            verdicts(capacity),
            needs_table(capacity).markdown(),
            mechanisms_table().markdown(),
            in_force(book),
            failures(book),
            NOT_COUNTED,
            "## The slopes\n",
            slope_table(book).markdown(),
        )
    )


def opening() -> str:
    """Return the page's head and the size."""
    return f"""# Capacity

This page is made by `balsamcleat bench slopes`, which measures the project's own parts against
small stand-ins at several sizes, and `balsamcleat bench report`, which turns the measured slopes
in `docs/capacity/slopes.json` into the tables below. The figures hold for the machine that the
slopes were measured on; processor time is that of one of its cores. What an entry VM costs on the
operators' platform, measured on whole days, stands in [capacity/platform.md](capacity/platform.md).

The size: {SCALE.nodes} nodes before {SCALE.replicas} replicas in {SCALE.zones} availability zones
of {SCALE.regions} regions, {SCALE.requests_per_s:.0f} requests and {SCALE.tokens_per_s / 1e6:.0f}
million tokens a second, {SCALE.trainers} trainers with {SCALE.samples_per_step} samples a step
within {SCALE.step_s / 60:.0f} minutes, weights every {SCALE.weights_interval_s / 60:.0f} minutes on
all replicas within {SCALE.weights_in_force_s:.0f} s, {SCALE.changes_per_day:.0f} changes of the
configuration a day, in force within {SCALE.configuration_in_force_s:.0f} s. One node then has
{SCALE.node_requests_per_s:.0f} requests and {SCALE.node_tokens_per_s:.0f} tokens a second; one zone
{SCALE.zone_nodes:.0f} nodes and {SCALE.zone_replicas:.0f} replicas.

Control is what a node does besides passing on calls and producing samples: target watch,
membership, VM list, configuration, leases, audit. "Several hundred" writes of the table are taken
as {LIMITS.table_writes_per_s:.0f} transactions. Traffic counts both directions.

## Totals
"""


def totals_table(capacity: Capacity) -> Table:
    """Return the sums against their limits."""
    rows = tuple(
        (
            total.name,
            total.unit,
            total.value,
            total.limit,
            f"{100 * (1 - total.value / total.limit):.0f} %",
            "yes" if total.fits() else "**no**",
        )
        for total in capacity.totals
    )
    return Table("Sums", ("what", "unit", "need", "limit", "headroom", "fits"), rows)


def verdicts(capacity: Capacity) -> str:
    """Return what does not fit, with the role that weighs most."""
    missed = [total for total in capacity.totals if not total.fits()]
    if not missed:
        return "Every sum fits. The largest shares are in the next table.\n"
    lines = ["What does not fit, and the role that weighs most in it:", ""]
    for total in missed:
        need = heaviest(capacity, total)
        lines.append(f"- **{total.name}**: {total.value:.4g} of {total.limit:.4g} {total.unit};")
        lines.append(f"  most of it is {need.role}.")
        lines.extend(MENDS.get(total.name, ()))
    return "\n".join(lines) + "\n"


def heaviest(capacity: Capacity, total: Total) -> RoleNeed:
    """Return the role that weighs most in a sum."""
    control = [need for need in capacity.needs if need.control]
    everybody = list(capacity.needs)
    weights = {
        "entry for callers, processor": (everybody, lambda need: need.cores),
        "entry on the platform, processor": (everybody, lambda need: need.cores),
        "control, processor": (control, lambda need: need.cores),
        "control, memory": (control, lambda need: need.memory_bytes),
        "control, traffic": (control, lambda need: need.bytes_per_s),
        "table writes": (everybody, lambda need: need.table_writes_per_s),
        "table reads": (everybody, lambda need: need.table_reads_per_s),
    }
    needs, weight = weights[total.name]
    return max(needs, key=weight)


def needs_table(capacity: Capacity) -> Table:
    """Return what each role needs."""
    rows = tuple(
        (
            need.role,
            "control" if need.control else "work",
            f"{100 * need.cores:.3f} %",
            need.memory_bytes / 1e6,
            need.bytes_per_s / 1e3,
            need.table_writes_per_s,
            need.table_reads_per_s,
        )
        for need in capacity.needs
    )
    columns = (
        "role",
        "counts as",
        "core, on average",
        "memory (MB)",
        "KB/s",
        "table writes/s, all nodes",
        "table reads/s, all nodes",
    )
    return Table("Needs of each role on a node", columns, rows)


def mechanisms_table() -> Table:
    """Return state, messages and mechanism of each role."""
    return Table(
        "State, messages and mechanism", ("role", "state", "messages", "mechanism"), MECHANISMS
    )


def in_force(book: SlopeBook) -> str:
    """Return how long weights and configurations take."""
    question_s = book.slope("engine asked", Quantity.CPU)
    zone = SCALE.zone_replicas
    work_s = 2 * zone * question_s
    left_s = SCALE.weights_in_force_s - work_s
    return f"""## In force in time

**Weights.** A zone's order holder asks and orders {zone:.0f} engines: {work_s:.2f} s of processor
time for each version ({question_s * 1000:.2f} ms a question), so that {left_s:.1f} s of the
{SCALE.weights_in_force_s:.0f} s are left for fetching and swapping. Two waves, which keep half of a
zone serving, leave {left_s / 2:.1f} s for each: the weight store must let half of all replicas
fetch at once and an engine must swap in that time. If it does not, the bottleneck is the store, not
the orders; fetching ahead and swapping on order would mend it, and needs an order that engines
don't offer today.

**Configuration.** `balsamcleat bench control` models it: rounds of digests to a few peers grow with
the logarithm of the nodes, so the time hardly depends on the size; its report has the slope.
"""


def failures(book: SlopeBook) -> str:
    """Return what ordinary failures cost."""
    lost_a_day = SCALE.failures_per_day + SCALE.replacements_per_day
    each_s = 86_400 / lost_a_day
    zone_bytes = book.at("VM listed", Quantity.RECEIVED, SCALE.zone_nodes + SCALE.zone_replicas)
    body = book.at("configuration change", Quantity.MEMORY, SCALE.replicas)
    return f"""## Failures of an ordinary day

- **{SCALE.failures_per_day:.0f} VMs fail, {SCALE.replacements_per_day:.0f} are replaced a day**:
  one every {each_s:.0f} s. A replacement reads its zone's list ({zone_bytes / 1e3:.0f} KB) and
  takes one configuration body from a peer (about {body / 1e6:.0f} MB in memory at full size).
  A failed VM is news of one entry to {SCALE.zone_nodes:.0f} peers.
- **A rack lost**: its nodes are suspected and buried by their zones within the suspicion time;
  work of others does not wait for it. Steps it owned are taken over by epoch.
- **A zone lost**: {SCALE.zone_nodes:.0f} of {SCALE.nodes} nodes and {SCALE.zone_replicas:.0f}
  replicas. The other zones see its summary grow old and send nothing there; they carry
  {100 / (SCALE.zones - 1):.1f} % more each.
- **Regions apart for an hour**: each goes on with its own targets. Those that reach the table
  accept patches; the others go on with the configuration they have and catch up by verified
  changes ({SCALE.changes_per_day / 24:.0f} in an hour; peers keep {MAX_RECENT_CHANGES}).
"""

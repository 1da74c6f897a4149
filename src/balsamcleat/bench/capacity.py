"""The arithmetic from measured slopes to what each role needs at full size."""

from dataclasses import dataclass

from balsamcleat.bench.probes import Quantity
from balsamcleat.bench.scale import LIMITS, SCALE, Limits, Scale
from balsamcleat.bench.slopes import SlopeBook
from balsamcleat.decisions.shared_list import (
    MAX_READ_INTERVAL_S,
    REMOTE_READ_INTERVAL_S,
    ZONE_READ_INTERVAL_S,
)
from balsamcleat.tasks.lease_keeper import RENEW_INTERVAL_S
from balsamcleat.tasks.target_watch import (
    EVENT_INTERVAL_S,
    EVENT_POLLS,
    LOAD_INTERVAL_S,
    MAX_REPORTS_PER_S,
    STATE_INTERVAL_S,
)

__all__ = ["Capacity", "RoleNeed", "Total", "work_out"]

# What a datagram carries around its payload: envelope, sender, seal.
DATAGRAM_OVERHEAD_BYTES = 150.0
# A question to an engine and its answer, both with HTTP's headers.
POLL_BYTES = 700.0
# What a node sends and hears of one change: the digest to some peers, a question, the answer.
CHANGE_MESSAGE_BYTES = 1_500.0
BATCH_SAMPLES = 32.0
SPOOL_INTERVAL_S = 0.25
STEP_RENEW_INTERVAL_S = 3.0
# Share of live calls that are not idempotent and carry a key.
KEYED_SHARE = 0.1
# A claim is written before the call and its outcome after it.
WRITES_PER_CLAIM = 2.0
ENTRY = "entry for callers"
PLATFORM_ENTRY = "entry on the platform"


@dataclass(frozen=True, slots=True)
class RoleNeed:
    """What one role needs on one node, and of the table altogether.

    Attributes:
        role: The role.
        control: Whether it counts as control, or as work for callers and trainers.
        cores: Share of a core on a node, on average.
        memory_bytes: Memory on a node.
        bytes_per_s: Bytes that a node sends and receives in a second.
        table_writes_per_s: Transactions of the whole system in a second.
        table_reads_per_s: Reads of the whole system in a second.
    """

    role: str
    control: bool
    cores: float = 0.0
    memory_bytes: float = 0.0
    bytes_per_s: float = 0.0
    table_writes_per_s: float = 0.0
    table_reads_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Total:
    """A sum over roles against its limit."""

    name: str
    unit: str
    value: float
    limit: float

    def fits(self) -> bool:
        """Return whether the limit is kept."""
        return self.value <= self.limit


@dataclass(frozen=True, slots=True)
class Capacity:
    """What all roles need."""

    needs: tuple[RoleNeed, ...]
    totals: tuple[Total, ...]


def work_out(book: SlopeBook, scale: Scale = SCALE, limits: Limits = LIMITS) -> Capacity:
    """Return the needs at a size.

    Args:
        book: The measured costs.
        scale: The size.
        limits: What is allowed.
    """
    needs = (
        caller_entry(book, scale),
        platform_entry(book, scale),
        target_watch(book, scale),
        membership(book, scale),
        vm_list(book, scale),
        configuration(book, scale),
        leases(book, scale),
        step_owner(book, scale),
        weight_orders(book, scale),
        claims(book, scale),
        audit(scale),
    )
    return Capacity(needs, totals(needs, limits))


def totals(needs: tuple[RoleNeed, ...], limits: Limits) -> tuple[Total, ...]:
    """Return the sums that have a limit."""
    control = [need for need in needs if need.control]
    entry, on_platform = (
        next(need for need in needs if need.role == role) for role in (ENTRY, PLATFORM_ENTRY)
    )
    return (
        Total("entry for callers, processor", "core", entry.cores, limits.entry_core),
        Total("entry on the platform, processor", "core", on_platform.cores, limits.entry_core),
        Total("control, processor", "core", sum(n.cores for n in control), limits.control_core),
        Total(
            "control, memory", "bytes", sum(n.memory_bytes for n in control), limits.control_bytes
        ),
        Total(
            "control, traffic",
            "bytes/s",
            sum(n.bytes_per_s for n in control),
            limits.control_bytes_per_s,
        ),
        Total(
            "table writes",
            "transactions/s",
            sum(n.table_writes_per_s for n in needs),
            limits.table_writes_per_s,
        ),
        Total(
            "table reads",
            "reads/s",
            sum(n.table_reads_per_s for n in needs),
            limits.table_reads_per_s,
        ),
    )


def caller_entry(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of passing on calls and tokens."""
    calls = book.slope("live call", Quantity.CPU) * scale.node_requests_per_s
    tokens = book.slope("streamed token", Quantity.CPU) * scale.node_tokens_per_s
    return RoleNeed(ENTRY, control=False, cores=calls + tokens)


def platform_entry(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of passing on calls and tokens by the platform's entry process."""
    calls = book.slope("entry call", Quantity.CPU) * scale.node_requests_per_s
    tokens = book.slope("entry token", Quantity.CPU) * scale.node_tokens_per_s
    return RoleNeed(PLATFORM_ENTRY, control=False, cores=calls + tokens)


def target_watch(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of knowing the zone's targets: questions, news, the router's state."""
    interval_s = max(LOAD_INTERVAL_S, scale.zone_replicas / MAX_REPORTS_PER_S)
    own_reports = scale.zone_replicas / scale.zone_nodes
    questions = own_reports / interval_s
    questions += EVENT_POLLS / STATE_INTERVAL_S + EVENT_POLLS / EVENT_INTERVAL_S
    notice = DATAGRAM_OVERHEAD_BYTES + book.at("load report told", Quantity.SENT, own_reports)
    news = 2 * (scale.zone_nodes - 1) * notice / interval_s
    cores = questions * book.slope("engine asked", Quantity.CPU)
    cores += book.at("target known", Quantity.CPU, scale.zone_replicas)
    return RoleNeed(
        "target watch",
        control=True,
        cores=cores,
        memory_bytes=book.at("target known", Quantity.MEMORY, scale.replicas),
        bytes_per_s=questions * POLL_BYTES + news,
    )


def membership(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of following the zone's peers and listing all."""
    sent = book.at("peer followed", Quantity.SENT, scale.zone_nodes)
    received = book.at("peer followed", Quantity.RECEIVED, scale.zone_nodes)
    cores = book.at("peer followed", Quantity.CPU, scale.zone_nodes)
    cores += book.at("peer listed", Quantity.CPU, scale.nodes)
    return RoleNeed(
        "membership",
        control=True,
        cores=cores,
        memory_bytes=book.at("peer listed", Quantity.MEMORY, scale.nodes),
        bytes_per_s=sent + received,
    )


def vm_list(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of reading the VM list in turns."""
    zone_vms = scale.zone_nodes + scale.zone_replicas
    interval_s = min(MAX_READ_INTERVAL_S, ZONE_READ_INTERVAL_S * scale.zone_nodes)
    own = book.at("VM listed", Quantity.RECEIVED, zone_vms) / interval_s
    remote = book.at("VM listed", Quantity.RECEIVED, scale.nodes) / REMOTE_READ_INTERVAL_S
    cores = book.at("VM listed", Quantity.CPU, zone_vms) / interval_s
    return RoleNeed("VM list", control=True, cores=cores, bytes_per_s=own + remote)


def configuration(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of taking over every change."""
    each = book.at("configuration change", Quantity.CPU, scale.replicas)
    sent = 2 * book.at("configuration change", Quantity.SENT, scale.replicas)
    return RoleNeed(
        "configuration",
        control=True,
        cores=each * scale.changes_per_s,
        memory_bytes=book.at("configuration change", Quantity.MEMORY, scale.replicas),
        bytes_per_s=(sent + CHANGE_MESSAGE_BYTES) * scale.changes_per_s,
        table_writes_per_s=scale.changes_per_s,
        table_reads_per_s=100.0,
    )


def leases(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of one weight order lease a zone, each with another holder."""
    writes = book.at("lease held", Quantity.TABLE_WRITES, 1.0)
    return RoleNeed(
        "leases",
        control=True,
        cores=book.at("lease held", Quantity.CPU, 1.0) / RENEW_INTERVAL_S,
        table_writes_per_s=scale.zones * writes / RENEW_INTERVAL_S,
        table_reads_per_s=scale.zones / RENEW_INTERVAL_S,
    )


def step_owner(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of one open step on its owner, and of all steps on the table."""
    batches = scale.samples_per_step / BATCH_SAMPLES / scale.step_s
    writes = batches + 1.0 / STEP_RENEW_INTERVAL_S
    return RoleNeed(
        "step owner (six nodes)",
        control=False,
        cores=book.at("sample of a step", Quantity.CPU, scale.samples_per_step) / scale.step_s,
        memory_bytes=book.at("sample of a step", Quantity.MEMORY, scale.samples_per_step),
        table_writes_per_s=scale.trainers * writes,
        table_reads_per_s=scale.trainers * writes,
    )


def weight_orders(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of a zone's order holder, spread over the time between versions."""
    question = book.slope("engine asked", Quantity.CPU)
    decision = book.at("weight order", Quantity.CPU, scale.zone_replicas)
    work_s = scale.zone_replicas * 2 * question + scale.weights_in_force_s * decision
    return RoleNeed(
        "weight orders (a node in each zone)",
        control=False,
        cores=work_s / scale.weights_interval_s,
    )


def claims(book: SlopeBook, scale: Scale) -> RoleNeed:
    """Return the need of claims, committed by one node in each zone."""
    claims_per_s = scale.requests_per_s * KEYED_SHARE * WRITES_PER_CLAIM
    commits = claims_per_s * book.slope("claim", Quantity.TABLE_WRITES)
    zone_claims = claims_per_s / scale.zones
    return RoleNeed(
        "claims (a committer in each zone)",
        control=False,
        cores=zone_claims * book.slope("claim", Quantity.CPU),
        table_writes_per_s=commits,
    )


def audit(scale: Scale) -> RoleNeed:
    """Return the need of audit rows beside the patches' own, and their archives."""
    events = scale.changes_per_s + (scale.failures_per_day + scale.replacements_per_day) / 86_400
    return RoleNeed("audit", control=True, table_writes_per_s=events)

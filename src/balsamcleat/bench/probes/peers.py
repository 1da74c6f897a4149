"""Probe of membership: real datagrams between many nodes' peer sides in this process."""

import random

import anyio

from balsamcleat.adapters.key_ring import KEY_BYTES, KeyRing
from balsamcleat.adapters.peer_seal import HmacSeal
from balsamcleat.adapters.socket_peers import SocketPeers
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SystemClock
from balsamcleat.bench.probes.base import CpuMeter, MemoryMeter, Probe, Quantity
from balsamcleat.decisions.membership import Membership
from balsamcleat.model import ConfigurationVersion, VmId, VmKind, VmRecord, ZoneName
from balsamcleat.model.peer import ConfigurationDigest
from balsamcleat.ports import Row, Table, Transaction, VmList
from balsamcleat.ports.table import Committed, Conflicted
from balsamcleat.standins.serving import LOOPBACK
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.peer_link import PeerLink

__all__ = ["PeerListedProbe", "PeerProbe"]

WARM_UP_S = 3.0
MEASURED_S = 10.0
ZONE = ZoneName("zone-a")
ZONES = 27


class FixedList(VmList):
    """A VM list that never changes."""

    def __init__(self, held: tuple[VmRecord, ...]) -> None:
        self.held = held

    async def records(
        self, zone: ZoneName | None = None, kind: VmKind | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the list."""
        return self.held


class EmptyTable(Table):
    """A table without rows."""

    async def get(self, key: str) -> Row | None:
        """Return no row."""
        return None

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return no rows."""
        return ()

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Take the transaction and forget it."""
        return Committed()


class PeerProbe(Probe):
    """Membership in one zone: a node's cost a second, by the number of peers it follows."""

    name = "peer followed"
    unit = "peer"
    per = "node second"
    sizes = (12, 50, 100, 200)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Run ``size`` nodes for some seconds."""
        return anyio.run(self.run_nodes, size)

    async def run_nodes(self, size: int) -> dict[Quantity, float]:
        """Run the nodes and return what one of them cost in a second."""
        metrics = [MemoryMetrics() for _ in range(size)]
        clock = SystemClock()
        seal = HmacSeal(KeyRing({1: bytes(KEY_BYTES)}), clock)
        sockets = [await SocketPeers.bind(f"{LOOPBACK}:0", item, seal) for item in metrics]
        records = tuple(
            VmRecord(VmId(f"entry-{number}"), VmKind.ENTRY, ZONE, "", peers.address)
            for number, peers in enumerate(sockets)
        )
        async with anyio.create_task_group() as group:
            for record, peers, item in zip(records, sockets, metrics, strict=True):
                group.start_soon(peer_side(record, records, peers, item).run)
            await anyio.sleep(WARM_UP_S)
            before = total_bytes(metrics)
            with CpuMeter() as cpu:
                await anyio.sleep(MEASURED_S)
            sent, received = (
                after - early for after, early in zip(total_bytes(metrics), before, strict=True)
            )
            group.cancel_scope.cancel()
        node_seconds = size * MEASURED_S
        return {
            Quantity.CPU: cpu.seconds / node_seconds,
            Quantity.SENT: sent / node_seconds,
            Quantity.RECEIVED: received / node_seconds,
        }


def total_bytes(metrics: list[MemoryMetrics]) -> tuple[int, int]:
    """Return the bytes that all nodes sent and received."""
    return (
        sum(item.counters["peer.bytes_sent"] for item in metrics),
        sum(item.counters["peer.bytes_received"] for item in metrics),
    )


def peer_side(
    record: VmRecord,
    records: tuple[VmRecord, ...],
    peers: SocketPeers,
    metrics: MemoryMetrics,
) -> PeerLink:
    """Build one node's peer side."""
    clock = SystemClock()
    generator = random.Random(record.vm_id)
    keeper = ConfigurationKeeper(EmptyTable(), clock, generator, metrics)
    membership = Membership(
        record.vm_id, record.zone, record.peer_address, 1, generator, keeper.digest
    )
    return PeerLink(
        record.vm_id,
        record.zone,
        peers,
        FixedList(records),
        keeper,
        membership,
        clock,
        generator,
        metrics,
    )


class PeerListedProbe(Probe):
    """What a node keeps of peers and does in a second of ticks, by the entry VMs listed."""

    name = "peer listed"
    unit = "peer"
    per = "node second"
    sizes = (100, 500, 1_500)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Fill a view with peers of 27 zones and tick it."""
        records = tuple(
            VmRecord(
                VmId(f"entry-{number:05d}"),
                VmKind.ENTRY,
                ZoneName(f"zone-{number % ZONES}"),
                f"10.0.0.1:{number}",
                f"10.0.1.1:{number}",
            )
            for number in range(size)
        )
        digest = ConfigurationDigest(ConfigurationVersion(1), "0" * 64)
        with MemoryMeter() as memory:
            membership = Membership(
                VmId("own"), ZoneName("zone-0"), "", 1, random.Random(1), lambda: digest
            )
            membership.apply_vm_list(records, 0.0)
        seconds = 10
        with CpuMeter() as cpu:
            for tick in range(seconds * 10):
                now_s = tick / 10
                membership.zone_view.now_s = now_s
                if tick % 10 == 0:
                    membership.zone_view.set_own_summary(membership.zone_alive_count(), b"", now_s)
                membership.tick(now_s)
                membership.pending_probes.clear()
        return {Quantity.MEMORY: memory.bytes, Quantity.CPU: cpu.seconds / seconds}

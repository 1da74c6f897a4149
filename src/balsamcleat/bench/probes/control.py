"""Probes of configuration, leases, claims and the VM list."""

import anyio
import msgspec

from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_platform import HttpVmList, PlatformHttp, VmMessage
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.bench.control_model import drain_patch, sized_configuration
from balsamcleat.bench.probes.base import CpuMeter, MemoryMeter, Probe, Quantity
from balsamcleat.bench.probes.other_thread import serving_elsewhere
from balsamcleat.configuration import NumberedConfiguration
from balsamcleat.configuration.history import (
    ChangeRecord,
    apply_change,
    decode_stored_record,
    initial_configuration,
)
from balsamcleat.model import VmId, VmKind, ZoneName
from balsamcleat.ports import ABSENT, Write
from balsamcleat.standins.memory_store import MemoryTable
from balsamcleat.standins.platform import PlatformStandIn
from balsamcleat.tasks.claim_writer import ClaimWriter
from balsamcleat.tasks.lease_keeper import LeaseKeeper

__all__ = ["ChangeProbe", "ClaimProbe", "LeaseProbe", "ListReadProbe"]

CHANGES = 5
LEASE_ROUNDS = 10
VM = VmId("entry-0")


class ChangeProbe(Probe):
    """What one accepted change costs a node that takes it over, by the configuration's targets."""

    name = "configuration change"
    unit = "configured target"
    per = "change"
    sizes = (500, 2_000, 10_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Take over changes that drain one target each."""
        with MemoryMeter() as memory:
            held = initial_configuration(sized_configuration(size), "probe", "first")
        follower: NumberedConfiguration = held
        seconds, sent = 0.0, 0
        for _ in range(CHANGES):
            held = drain_patch(held)
            sent += len(held.change)
            with CpuMeter() as cpu:
                record = decode_stored_record(held.change)
                assert isinstance(record, ChangeRecord)
                follower = apply_change(follower, record)
            seconds += cpu.seconds
        return {
            Quantity.CPU: seconds / CHANGES,
            Quantity.SENT: sent / CHANGES,
            Quantity.MEMORY: memory.bytes,
        }


class LeaseProbe(Probe):
    """What a round of renewals costs, by the leases held."""

    name = "lease held"
    unit = "lease"
    per = "renewal round"
    sizes = (10, 50, 200)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Take leases and renew them some times."""
        return anyio.run(self.renew, size)

    async def renew(self, size: int) -> dict[Quantity, float]:
        """Renew against a table in memory."""
        table = MemoryTable()
        keeper = LeaseKeeper(VM, table, SystemClock(), SeededRandomness(1), MemoryMetrics())
        for number in range(size):
            await keeper.acquire(f"lease-{number}")
        reads, commits = table.reads, table.commits
        with CpuMeter() as cpu:
            for _ in range(LEASE_ROUNDS):
                await keeper.renew_all()
        return {
            Quantity.CPU: cpu.seconds / LEASE_ROUNDS,
            Quantity.TABLE_READS: (table.reads - reads) / LEASE_ROUNDS,
            Quantity.TABLE_WRITES: (table.commits - commits) / LEASE_ROUNDS,
        }


class ClaimProbe(Probe):
    """Table transactions that claims of keyed calls take, by the claims that arrive at once."""

    name = "claim"
    unit = "claim"
    per = "whole run"
    sizes = (100, 400, 1_600)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Write claims through one committer."""
        return anyio.run(self.claim, size)

    async def claim(self, size: int) -> dict[Quantity, float]:
        """Write claims at once."""
        table = MemoryTable()

        async def nowhere(vm_id: VmId, payload: bytes) -> bytes:
            raise AssertionError("the committer is this VM")

        writer = ClaimWriter(
            VM,
            table,
            SystemClock(),
            SeededRandomness(1),
            MemoryMetrics(),
            lambda: (VM,),
            nowhere,
        )
        with CpuMeter() as cpu:
            async with anyio.create_task_group() as group:
                group.start_soon(writer.run)
                async with anyio.create_task_group() as claims:
                    for number in range(size):
                        claims.start_soon(writer.write, Write(f"claim/{number}", b"x" * 64, ABSENT))
                group.cancel_scope.cancel()
        return {Quantity.CPU: cpu.seconds, Quantity.TABLE_WRITES: float(table.commits)}


class ListReadProbe(Probe):
    """What one read of the zone's VM list costs, by the VMs in it."""

    name = "VM listed"
    unit = "VM of the zone"
    per = "read"
    sizes = (50, 200, 426)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Read a list from a platform in another thread."""
        platform = PlatformStandIn()
        vms = [
            VmMessage(f"engines-{number:05d}", VmKind.TARGET, "zone-a", f"10.0.0.1:{number}")
            for number in range(size)
        ]
        platform.vms = {vm.vm_id: vm for vm in vms}
        platform.vm_history = [(float("-inf"), tuple(vms))]
        with serving_elsewhere(platform.app()) as address:
            seconds = anyio.run(self.read, address)
        return {
            Quantity.CPU: seconds,
            Quantity.RECEIVED: float(len(msgspec.json.encode({"vms": vms}))),
        }

    async def read(self, address: str) -> float:
        """Read some times and return the processor seconds of one read."""
        rounds = 20
        async with new_client() as client:
            source = HttpVmList(PlatformHttp(client, f"http://{address}"))
            await source.records(zone=ZoneName("zone-a"))
            with CpuMeter(this_thread=True) as cpu:
                for _ in range(rounds):
                    await source.records(zone=ZoneName("zone-a"))
        return cpu.seconds / rounds

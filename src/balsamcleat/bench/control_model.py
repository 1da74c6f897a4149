"""Nodes that spread configurations in virtual time, with the real decisions of each node."""

import contextlib
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.bench.events import VirtualTime
from balsamcleat.configuration import (
    Configuration,
    NumberedConfiguration,
    PatchRejected,
    PatchRequest,
    Service,
    ServiceKind,
    Target,
    Zone,
    apply_patch,
    initial_configuration,
)
from balsamcleat.configuration.store import HEAD_KEY, HeadRow, change_key, installation_writes
from balsamcleat.decisions.membership import Membership, OutgoingDatagram
from balsamcleat.errors import PlatformError
from balsamcleat.model import VmId, VmKind, VmRecord, ZoneName
from balsamcleat.model.peer import Heartbeat, HeartbeatAck, PeerMessage
from balsamcleat.ports import Clock, Transaction, Write
from balsamcleat.standins.memory_store import MemoryTable
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["ControlModel", "ModelNode", "drain_patch", "sized_configuration"]

TICK_INTERVAL_S = 0.1
DELAY_LOW_S = 0.0005
DELAY_HIGH_S = 0.002
REQUEST_TIMEOUT_S = 5.0

Answer = TypeVar("Answer")


def finish(step: Coroutine[Any, Any, Answer]) -> Answer:
    """Run a coroutine that waits for nothing."""
    try:
        step.send(None)
    except StopIteration as stop:
        answer: Answer = stop.value
        return answer
    raise AssertionError("the coroutine waits")


def sized_configuration(targets: int) -> Configuration:
    """Return a configuration with so many targets."""
    return Configuration(
        zones={"zone-0": Zone(region="region")},
        services={"model": Service(kind=ServiceKind.ENGINE)},
        targets={
            f"engine-{number:05d}": Target(
                service="model", zone="zone-0", address=f"10.0.{number // 250}.{number % 250}:8000"
            )
            for number in range(targets)
        },
    )


def drain_patch(base: NumberedConfiguration) -> NumberedConfiguration:
    """Return the next configuration, with one more target drained or undrained."""
    names = list(base.body.targets)
    name = names[base.version % len(names)]
    value = str(not base.body.targets[name].draining).lower()
    patch = f'[{{"op":"replace","path":"/targets/{name}/draining","value":{value}}}]'
    request = PatchRequest(
        base.version, patch.encode(), "bench", "drain", f"op-{base.version}", force=True
    )
    made = apply_patch(base, request, float(base.version))
    if isinstance(made, PatchRejected):
        raise AssertionError(made)
    return made


class ModelClock(Clock):
    """Tells virtual time."""

    def __init__(self, time: VirtualTime) -> None:
        self.time = time

    def now_s(self) -> float:
        """Return virtual seconds."""
        return self.time.now_s

    def wall_s(self) -> float:
        """Return virtual seconds."""
        return self.time.now_s

    async def sleep(self, seconds: float) -> None:
        """Nothing here waits."""
        raise AssertionError("a model does not sleep")


class ModelNode:
    """One node: its membership and its configuration.

    Args:
        model: The model it belongs to.
        record: Its line of the VM list.
        seed: Seeds its draws.
    """

    def __init__(self, model: "ControlModel", record: VmRecord, seed: int) -> None:
        self.model = model
        self.vm_id = record.vm_id
        self.zone = record.zone
        self.address = record.peer_address
        self.cut = False
        self.sequence = 0
        self.catching_up = False
        self.keeper = ConfigurationKeeper(
            model.table,
            ModelClock(model.time),
            random.Random(f"{seed}:pace"),
            MemoryMetrics(),
            count_vms=lambda: len(model.nodes),
        )
        self.membership = Membership(
            record.vm_id,
            record.zone,
            record.peer_address,
            1,
            random.Random(f"{seed}:membership"),
            self.keeper.digest,
        )

    def tick(self) -> None:
        """Run membership's rhythm."""
        self.send(self.membership.tick(self.model.time.now_s))
        self.model.time.after(TICK_INTERVAL_S, self.tick)

    def read_table(self) -> None:
        """Read the table and come back after the pace's wait."""
        before = self.keeper.current.version
        if not self.cut:
            with contextlib.suppress(PlatformError):
                finish(self.keeper.read_table())
        self.after_adoption(before)
        self.model.time.after(self.keeper.read_pace.wait_s(len(self.model.nodes)), self.read_table)

    def send(self, outgoing: tuple[OutgoingDatagram, ...]) -> None:
        """Send datagrams."""
        for item in outgoing:
            self.sequence += 1
            message = PeerMessage(self.vm_id, 1, self.sequence, item.body)
            self.model.carry(self, item.address, message)

    def receive(self, message: PeerMessage, address: str) -> None:
        """Handle a datagram, and catch up if its sender is ahead."""
        self.send(self.membership.handle_message(message, address, self.model.time.now_s))
        body = message.body
        if self.catching_up or not isinstance(body, Heartbeat | HeartbeatAck):
            return
        if self.keeper.adoption.is_behind(body.configuration.version):
            self.ask(address)

    def ask(self, address: str) -> None:
        """Ask a peer for what is newer; the answer takes two ways."""
        peer = self.model.nodes[address]
        self.catching_up = True
        if not self.model.reaches(self, peer):
            self.model.time.after(REQUEST_TIMEOUT_S, self.give_up)
            return
        self.model.time.after(self.model.delay_s(), lambda: self.answered(peer))

    def give_up(self) -> None:
        """Take note that no answer came."""
        self.catching_up = False

    def answered(self, peer: "ModelNode") -> None:
        """Take the peer's answer after its way back."""
        bodies = peer.keeper.bodies_after(self.keeper.current.version)
        self.model.configuration_bytes += sum(len(body.record) for body in bodies)

        def arrive() -> None:
            self.catching_up = False
            before = self.keeper.current.version
            for body in bodies:
                self.keeper.offer_body(body, "peer")
            self.after_adoption(before)

        self.model.time.after(self.model.delay_s(), arrive)

    def after_adoption(self, before: int) -> None:
        """Tell some peers at once if something newer is in force."""
        if self.keeper.current.version > before:
            self.model.adopted()
            self.send(self.membership.announce_configuration())


class ControlModel:
    """So many nodes in so many zones before one table.

    Args:
        nodes: How many.
        zones: How many zones they are spread over.
        targets: How many targets the configuration has.
        seed: Seeds all draws.
        loss: Share of datagrams that are lost.
    """

    def __init__(self, nodes: int, zones: int, targets: int, seed: int, loss: float = 0.0) -> None:
        self.time = VirtualTime()
        self.generator = random.Random(f"{seed}:network")
        self.loss = loss
        self.table = MemoryTable()
        self.nodes: dict[str, ModelNode] = {}
        self.configuration_bytes = 0
        self.wanted = 0
        self.in_force_at_s: float | None = None
        self.first = initial_configuration(sized_configuration(targets), "bench", "first")
        finish(self.table.commit(Transaction("first", installation_writes(self.first))))
        records = tuple(
            VmRecord(
                VmId(f"vm-{number}"),
                VmKind.ENTRY,
                ZoneName(f"zone-{number % zones}"),
                "",
                f"address-{number}",
            )
            for number in range(nodes)
        )
        for number, record in enumerate(records):
            node = ModelNode(self, record, seed * 10_000 + number)
            node.membership.apply_vm_list(records, 0.0)
            node.keeper.offer(self.first, "table")
            self.nodes[record.peer_address] = node
            self.time.after(self.generator.uniform(0.0, TICK_INTERVAL_S), node.tick)
            self.time.after(node.keeper.read_pace.wait_s(nodes), node.read_table)

    def delay_s(self) -> float:
        """Return the delay of one way, in seconds."""
        return self.generator.uniform(DELAY_LOW_S, DELAY_HIGH_S)

    def reaches(self, source: ModelNode, target: ModelNode) -> bool:
        """Return whether the two are on the same side of a cut."""
        return source.cut == target.cut

    def carry(self, source: ModelNode, address: str, message: PeerMessage) -> None:
        """Carry a datagram, unless it is lost."""
        target = self.nodes[address]
        if not self.reaches(source, target) or self.generator.random() < self.loss:
            return
        self.time.after(self.delay_s(), lambda: target.receive(message, source.address))

    def accept(self, address: str) -> NumberedConfiguration:
        """Let one node accept the next configuration."""
        node = self.nodes[address]
        base = node.keeper.current
        made = drain_patch(base)
        head = HeadRow(made.version, made.digest)
        writes = (
            Write(HEAD_KEY, msgspec.json.encode(head)),
            Write(change_key(made.version), made.change),
        )
        finish(self.table.commit(Transaction(made.operation_id, writes)))
        self.wanted, self.in_force_at_s = made.version, None
        node.keeper.offer(made, "own patch")
        node.after_adoption(base.version)
        return made

    def adopted(self) -> None:
        """Take note when the last node has what is wanted in force."""
        if self.in_force_at_s is None and all(
            node.keeper.current.version >= self.wanted for node in self.nodes.values()
        ):
            self.in_force_at_s = self.time.now_s

    def cut_zone(self, zone: str, cut: bool) -> None:
        """Cut a zone off from the others and from the table, or heal it."""
        for node in self.nodes.values():
            if node.zone == zone:
                node.cut = cut

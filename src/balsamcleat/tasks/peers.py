"""What VMs tell each other directly: whether the store answers them.

Plain HTTP with JSON bodies on the port that is free between the VMs. The schema compiler's
messages would cost each process 4 MB for a library that it needs for nothing else.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec
import structlog

from balsamcleat.decisions.readiness import PeerView, StoreView, is_suspect
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ClientPool, Request, Responder, Response
from balsamcleat.tasks.relayed_store import RELAY_PREFIX, StoreRelay

__all__ = ["PeerPoller", "PeerRequestHandler", "PeerState"]

STATE_PATH = "/state"
POLL_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.25
PEERS_PER_POLL = 4
# A peer whose store answered within this time reaches it.
MAX_STORE_SILENCE_S = 1.0

log = structlog.get_logger()


class PeerState(msgspec.Struct, frozen=True):
    """What a VM says of itself.

    Attributes:
        boot: The start of its process.
        store_silence_s: Time since the store's last answer to it, in seconds.
        store_failing: Whether its last calls failed, however lately the store had answered.
    """

    boot: str
    store_silence_s: float
    store_failing: bool = False

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers it without another's help."""
        return not self.store_failing and self.store_silence_s < MAX_STORE_SILENCE_S


class PeerRequestHandler:
    """Answers peers.

    Args:
        state: Returns what this VM says of itself.
        relay: Carries their calls to the store.
    """

    def __init__(self, get_state: Callable[[], PeerState], relay: StoreRelay) -> None:
        self.get_state = get_state
        self.relay = relay

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one peer's request."""
        if request.path.startswith(RELAY_PREFIX):
            await self.relay.handle(request, responder)
            return
        if request.path != STATE_PATH:
            await responder.send(Response(404))
            return
        await responder.send(Response(200, (), msgspec.json.encode(self.get_state())))


@dataclass(frozen=True, slots=True)
class PollResult:
    """A peer's answer; None where none came."""

    vm: str
    state: PeerState | None


class PeerPoller:
    """Asks peers when there is a reason to.

    Args:
        pool: Connections to them.
        vm: This VM.
        zone: Its availability zone.
        living: Returns the rows of VMs believed to live.
        straight: Returns how this VM reaches the store without another's help.
        generator: Draws peers.
    """

    def __init__(
        self,
        pool: ClientPool,
        vm: str,
        zone: str,
        list_live_vms: Callable[[], list[VmRow]],
        get_direct_store_view: Callable[[], StoreView],
        generator: random.Random,
    ) -> None:
        self.pool = pool
        self.vm = vm
        self.zone = zone
        self.list_live_vms = list_live_vms
        self.get_direct_store_view = get_direct_store_view
        self.generator = generator
        self.view = PeerView()
        # VMs that reach the store, while this one doesn't.
        self.vms_reaching_store: list[VmRow] = []
        self.known_rows: dict[str, VmRow] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            for row in self.list_live_vms():
                self.known_rows[row.vm] = row
            if is_suspect(self.get_direct_store_view()):
                await self.poll_store_reachability()
            else:
                self.view = PeerView()
                self.vms_reaching_store = []

    async def poll_store_reachability(self) -> None:
        """Ask some peers, those of other zones first, whether they reach the store."""
        others = [row for row in self.known_rows.values() if row.vm != self.vm and row.address]
        self.generator.shuffle(others)
        others.sort(key=lambda row: row.zone == self.zone)
        results = await self.poll(others[:PEERS_PER_POLL])
        states = {answer.vm: answer.state for answer in results if answer.state is not None}
        names_reaching_store = {vm for vm, state in states.items() if state.reaches_store}
        rows_reaching_store = [row for row in others if row.vm in names_reaching_store]
        # Bytes between zones are dear; the rest is left to chance.
        self.vms_reaching_store = sorted(rows_reaching_store, key=lambda row: row.zone != self.zone)
        previous_view = self.view
        self.view = PeerView(len(results), len(states), len(names_reaching_store))
        if self.view != previous_view:
            log.info(
                "peers asked about the store",
                asked=len(results),
                answered=len(states),
                reach_store=len(names_reaching_store),
                silence_s=round(self.get_direct_store_view().silence_s, 2),
            )

    async def poll(self, rows: list[VmRow]) -> list[PollResult]:
        """Ask peers at the same time."""
        results: list[PollResult] = []

        async def poll_one(row: VmRow) -> None:
            request = Request("GET", STATE_PATH, (("Host", row.address),))
            try:
                response = await self.pool.fetch(row.address, request, POLL_TIMEOUT_S)
                state = msgspec.json.decode(response.body, type=PeerState)
            except (AttemptFailedError, msgspec.DecodeError):
                # Its silence is the answer; the caller counts it.
                results.append(PollResult(row.vm, None))
                return
            results.append(PollResult(row.vm, state))

        async with anyio.create_task_group() as tasks:
            for row in rows:
                tasks.start_soon(poll_one, row)
        return results

"""HTTP exchange between VMs about whether each of them reaches the row store.

The messages are JSON over plain HTTP on the port for traffic between VMs. Messages of the schema
compiler would cost each process 4 MB for a library that it needs for nothing else.
"""

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import anyio
import anyio.abc
import msgspec
import structlog

from balsamcleat.decisions.readiness import PeerView, StoreView, should_ask_peers
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response

__all__ = ["PeerPoller", "PeerRequestHandler", "PeerState"]

STATE_PATH = "/state"
POLL_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.25
PEERS_PER_POLL = 4
# A peer reaches the store if the store answered it within this time.
MAX_STORE_SILENCE_S = 1.0

log = structlog.get_logger()


class PeerState(msgspec.Struct, frozen=True):
    """State that a VM reports to its peers.

    Attributes:
        boot: Identifier of the start of the VM's process.
        store_silence_s: Time since the store's last direct answer to the VM, in seconds.
        store_failing: Whether the VM's latest direct calls to the store failed, however recent
            the store's last answer is.
    """

    boot: str
    store_silence_s: float
    store_failing: bool = False

    @property
    def reaches_store(self) -> bool:
        """Whether the VM reaches the store directly, without a relay."""
        return not self.store_failing and self.store_silence_s < MAX_STORE_SILENCE_S


class PeerRequestHandler:
    """Answers HTTP requests of peer VMs.

    Args:
        get_state: Returns the state of this VM.
        handlers: Handlers of all other requests, by the prefix of their paths.
    """

    def __init__(
        self,
        get_state: Callable[[], PeerState],
        handlers: Mapping[str, Callable[[Request, Responder], Awaitable[None]]],
    ) -> None:
        self.get_state = get_state
        self.handlers = handlers

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request of a peer."""
        for prefix, handler in self.handlers.items():
            if request.path.startswith(prefix):
                await handler(request, responder)
                return
        if request.path != STATE_PATH:
            await responder.send(Response(404))
            return
        await responder.send(Response(200, (), msgspec.json.encode(self.get_state())))


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of polling a peer; ``state`` is None if the peer did not answer."""

    vm: str
    state: PeerState | None


class PeerPoller:
    """Polls peers about the row store while this VM has trouble reaching it.

    Args:
        pool: HTTP connections to peers.
        vm: Name of this VM.
        zone: Availability zone of this VM.
        list_live_vms: Returns the rows of the VMs that are considered alive.
        get_direct_store_view: Returns how this VM reaches the store directly.
        generator: Selects the peers to poll.
    """

    def __init__(
        self,
        pool: ConnectionPool,
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
        # Rows of the VMs that reach the store while this VM does not, those of the own zone first.
        self.vms_reaching_store: list[VmRow] = []
        self.known_rows: dict[str, VmRow] = {}

    async def run(self) -> None:
        """Poll peers until cancelled, whenever the store is suspected to be out of reach."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            for row in self.list_live_vms():
                self.known_rows[row.vm] = row
            if should_ask_peers(self.get_direct_store_view()):
                await self.poll_store_reachability()
            else:
                self.view = PeerView()
                self.vms_reaching_store = []

    async def poll_store_reachability(self) -> None:
        """Poll some peers, those of other zones first, whether they reach the store."""
        others = [row for row in self.known_rows.values() if row.vm != self.vm and row.address]
        self.generator.shuffle(others)
        others.sort(key=lambda row: row.zone == self.zone)
        results = await self.poll(others[:PEERS_PER_POLL])
        states = {result.vm: result.state for result in results if result.state is not None}
        names_reaching_store = {vm for vm, state in states.items() if state.reaches_store}
        rows_reaching_store = [row for row in others if row.vm in names_reaching_store]
        # Traffic between zones is expensive, so relays in the own zone come first. The order
        # within a zone is random.
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

    async def is_running(self, row: VmRow) -> bool:
        """Return whether a VM's process answers and reaches the store itself."""
        (result,) = await self.poll([row])
        state = result.state
        return state is not None and state.boot == row.boot and state.reaches_store

    async def poll(self, rows: list[VmRow]) -> list[PollResult]:
        """Poll peers concurrently and return their states."""
        results: list[PollResult] = []

        async def poll_one(row: VmRow) -> None:
            request = Request("GET", STATE_PATH, (("Host", row.address),))
            try:
                response = await self.pool.fetch(row.address, request, POLL_TIMEOUT_S)
                state = decode_json(response.body, PeerState)
            except (AttemptFailedError, msgspec.DecodeError):
                # A missing answer is a result as well: the caller counts the peers that answered.
                results.append(PollResult(row.vm, None))
                return
            results.append(PollResult(row.vm, state))

        async with anyio.create_task_group() as tasks:
            for row in rows:
                tasks.start_soon(poll_one, row)
        return results

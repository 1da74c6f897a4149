"""Finds out which targets this VM reaches, and which other VMs reach the rest."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Container, Iterable, Set
from dataclasses import dataclass

import anyio
import msgspec
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.target_path import TargetCondition, TargetPath, judge_target
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response, is_success
from balsamcleat.model import ServiceName, TargetId
from balsamcleat.model.replicas import Replica
from balsamcleat.tasks.target_probe import accepts_connections

__all__ = ["REACH_PATH", "TargetPaths", "WatchedRun"]

REACH_PATH = "/reach"
CHECK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.2
ASK_TIMEOUT_S = 0.4
# Where a whole zone is cut off, most of the VMs that are asked reach nothing either.
PEERS_ASKED = 5
KNOWN_RELAYS_ASKED = 2
# A VM that has lost one link checks at most this many further targets at once.
MAX_CHECKED_TARGETS = 64
# Other VMs are asked about this many further targets of a service: a VM that reaches one of them
# shows that its links to the service hold.
CONTROL_TARGETS = 2

log = structlog.get_logger()


class WatchedRun(ABC):
    """A request that runs at a target over a direct connection.

    Attributes:
        replica: Target of the request.
        progress_at_s: Time of the last bytes from the target, or of the request, in seconds.
        patience_s: Time without bytes after which the link to the target is suspected.
        can_repeat: Whether the request may run again elsewhere.
    """

    replica: Replica
    progress_at_s: float
    patience_s: float
    can_repeat: bool

    @abstractmethod
    def give_up(self) -> None:
        """End the request, since its link is lost."""


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Targets that another VM reaches."""

    row: VmRow
    reached: frozenset[TargetId]


class TargetPaths:
    """Watches the links to targets, and chooses VMs that pass requests on where one is lost.

    Args:
        vm: Name of this VM.
        zone: Availability zone of this VM.
        peer_pool: HTTP connections to peers, for questions.
        relay_pool: HTTP connections to peers, for requests that they pass on.
        list_live_vms: Returns the rows of the VMs that are considered alive.
        directory: Directory of the targets.
        on_path_change: Called with a target whose path changed, so that what failed on the path
            before no longer counts against the target.
        generator: Selects the peers to ask and the relays to use.
    """

    def __init__(
        self,
        vm: str,
        zone: str,
        peer_pool: ConnectionPool,
        relay_pool: ConnectionPool,
        list_live_vms: Callable[[], list[VmRow]],
        directory: ReplicaDirectory,
        on_path_change: Callable[[Replica], None],
        generator: random.Random,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.peer_pool = peer_pool
        self.relay_pool = relay_pool
        self.list_live_vms = list_live_vms
        self.directory = directory
        self.on_path_change = on_path_change
        self.generator = generator
        self.paths: dict[TargetId, TargetPath] = {}
        self.runs: set[WatchedRun] = set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Check suspected and lost links until cancelled."""
        while True:
            if not self.runs and not self.has_open_checks():
                self.changed = anyio.Event()
                await self.changed.wait()
            await anyio.sleep(CHECK_INTERVAL_S)
            self.suspect_silent_runs()
            self.forget_removed_targets()
            now_s = anyio.current_time()
            due = [
                self.directory.entries[target_id]
                for target_id, path in self.paths.items()
                if path.is_check_due(now_s)
            ]
            if due:
                await self.check(due[:MAX_CHECKED_TARGETS])

    def has_open_checks(self) -> bool:
        """Return whether a link is suspected or lost."""
        return any(
            path.is_suspected or path.condition is not TargetCondition.REACHED
            for path in self.paths.values()
        )

    def path(self, replica: Replica) -> TargetPath:
        """Return the path to a start of a target.

        A target that starts again may do so elsewhere, so its path is unknown. What is learnt of a
        start that the list does not show goes into a path that nothing uses.
        """
        path = self.known_path(replica)
        if path is None:
            path = TargetPath(replica.started_ms)
            if self.directory.shows_start(replica.start):
                self.paths[replica.target_id] = path
        return path

    def known_path(self, replica: Replica) -> TargetPath | None:
        """Return the path to a start of a target if it was used before, else None."""
        path = self.paths.get(replica.target_id)
        return path if path is not None and path.started_ms == replica.started_ms else None

    def watch(self, run: WatchedRun) -> None:
        """Watch a request until ``unwatch``."""
        self.runs.add(run)
        self.changed.set()

    def unwatch(self, run: WatchedRun) -> None:
        """Stop watching a request."""
        self.runs.discard(run)

    def record_answer(self, replica: Replica) -> None:
        """Record that a target answered this VM directly."""
        self.path(replica).record_answer(anyio.current_time())

    def suspect(self, replica: Replica) -> None:
        """Record that a target did not answer this VM, and check it soon."""
        self.path(replica).is_suspected = True
        self.changed.set()

    def suspect_silent_runs(self) -> None:
        """Suspect the links of requests that have got no bytes for too long."""
        now_s = anyio.current_time()
        for run in self.runs:
            if now_s - run.progress_at_s < run.patience_s:
                continue
            path = self.path(run.replica)
            if not path.has_answered_lately(now_s) or path.answered_at_s <= run.progress_at_s:
                path.is_suspected = True

    def forget_removed_targets(self) -> None:
        """Drop the paths to targets that are no longer listed."""
        for target_id in [known for known in self.paths if known not in self.directory.entries]:
            del self.paths[target_id]

    def choose_relay(self, replica: Replica) -> VmRow | None:
        """Return a VM that passes requests on to a target, or None to call it directly."""
        path = self.known_path(replica)
        if path is None or path.condition is not TargetCondition.LINK_LOST or not path.relays:
            return None
        local = [row for row in path.relays if row.zone == self.zone]
        return self.generator.choice(local or path.relays)

    def drop_relay(self, replica: Replica, relay: VmRow) -> None:
        """Use another VM for a target than one that did not pass a request on."""
        path = self.path(replica)
        path.relays = [row for row in path.relays if row.vm != relay.vm]
        path.is_suspected = True
        self.changed.set()

    def is_unreachable(self, replica: Replica) -> bool:
        """Return whether neither this VM nor one that it knows reaches a target."""
        path = self.known_path(replica)
        if path is None or path.condition is TargetCondition.REACHED:
            return False
        return path.condition is not TargetCondition.LINK_LOST or not path.relays

    def has_lost_links(self, services: Container[ServiceName]) -> bool:
        """Return whether this VM has lost its link to a target of services that others reach."""
        return any(
            path.condition is TargetCondition.LINK_LOST
            and target_id in self.directory.entries
            and self.directory.entries[target_id].service in services
            for target_id, path in self.paths.items()
        )

    async def examine(self, target_id: TargetId) -> TargetCondition:
        """Return the condition of a target after a check, unless there was one just now."""
        replica = self.directory.entries.get(target_id)
        if replica is None:
            return TargetCondition.ENDED
        path = self.path(replica)
        if not path.has_fresh_check(anyio.current_time()):
            await self.check([replica])
        return path.condition

    async def check(self, replicas: list[Replica]) -> None:
        """Open a connection to each target, and ask other VMs about those that don't take it."""
        connected = await self.probe(replicas)
        missed = [replica for replica in replicas if replica.target_id not in connected]
        peers = self.choose_peers() if missed else []
        answers = await self.ask_peers(peers, [*missed, *self.control_targets(missed)])
        own_answer = connected | self.lately_answered_targets()
        views = [own_answer, *(answer.reached for answer in answers)]
        has_lost_link = False
        for replica in replicas:
            relays = [answer.row for answer in answers if replica.target_id in answer.reached]
            condition = judge_target(
                connects=replica.target_id in connected,
                has_peers=bool(peers),
                has_relay=bool(relays),
                has_witness=any(self.reaches_other(view, replica) for view in views),
            )
            self.record_check(replica, condition, relays)
            has_lost_link = has_lost_link or condition is TargetCondition.LINK_LOST
        if has_lost_link:
            self.suspect_all()

    def control_targets(self, replicas: list[Replica]) -> list[Replica]:
        """Return further targets of the same services."""
        asked = {replica.target_id for replica in replicas}
        controls: list[Replica] = []
        for service in {replica.service for replica in replicas}:
            others = self.directory.ready_replicas(service)
            controls += [item for item in others if item.target_id not in asked][:CONTROL_TARGETS]
        return controls

    def lately_answered_targets(self) -> set[TargetId]:
        """Return the targets that answered this VM directly just now."""
        now_s = anyio.current_time()
        return {
            target_id
            for target_id, path in self.paths.items()
            if path.has_answered_lately(now_s) and not path.is_suspected
        }

    def reaches_other(self, reached: Set[TargetId], replica: Replica) -> bool:
        """Return whether a VM that reaches these targets reaches another one of the service."""
        return any(
            other.target_id in reached and other.target_id != replica.target_id
            for other in self.directory.ready_replicas(replica.service)
        )

    async def probe(self, replicas: Iterable[Replica]) -> set[TargetId]:
        """Return the targets that accept a connection from this VM."""
        connected: set[TargetId] = set()

        async def probe_one(replica: Replica) -> None:
            if await accepts_connections(replica.address, PROBE_TIMEOUT_S):
                connected.add(replica.target_id)

        async with anyio.create_task_group() as tasks:
            for replica in replicas:
                tasks.start_soon(probe_one, replica)
        return connected

    def choose_peers(self) -> list[VmRow]:
        """Return VMs to ask: some that were relays, and random others."""
        rows = [row for row in self.list_live_vms() if row.vm != self.vm and row.address]
        self.generator.shuffle(rows)
        known = {row.vm for path in self.paths.values() for row in path.relays}
        relays = [row for row in rows if row.vm in known][:KNOWN_RELAYS_ASKED]
        others = [row for row in rows if row not in relays]
        return [*relays, *others][:PEERS_ASKED]

    async def ask_peers(self, peers: list[VmRow], replicas: list[Replica]) -> list[PeerAnswer]:
        """Return the answers of other VMs to the question which targets they reach."""
        answers: list[PeerAnswer] = []
        body = msgspec.msgpack.encode([replica.target_id for replica in replicas])

        async def ask(row: VmRow) -> None:
            request = Request("POST", REACH_PATH, (("Host", row.address),), body)
            try:
                response = await self.peer_pool.fetch(row.address, request, ASK_TIMEOUT_S)
                if is_success(response.status):
                    reached = decode_msgpack(response.body, list[str])
                    answers.append(PeerAnswer(row, frozenset(map(TargetId, reached))))
            except (AttemptFailedError, msgspec.DecodeError) as error:
                log.info("peer not asked about targets", peer=row.vm, reason=str(error))

        async with anyio.create_task_group() as tasks:
            for row in peers:
                tasks.start_soon(ask, row)
        return answers

    def record_check(
        self, replica: Replica, condition: TargetCondition, relays: list[VmRow]
    ) -> None:
        """Record the result of a check, and use the new path if it differs."""
        path = self.path(replica)
        previous = path.condition
        path.record_check(condition, relays, anyio.current_time())
        if condition is previous:
            return
        log.info(
            "target path",
            target=replica.target_id,
            now=condition.value,
            before=previous.value,
            relays=len(relays),
        )
        self.on_path_change(replica)
        if condition is TargetCondition.LINK_LOST:
            self.give_up_silent_runs(replica)

    def give_up_silent_runs(self, replica: Replica) -> None:
        """End the requests at a target that get no bytes and may run again by another way."""
        now_s = anyio.current_time()
        for run in list(self.runs):
            is_silent = now_s - run.progress_at_s >= run.patience_s
            if run.replica.target_id == replica.target_id and run.can_repeat and is_silent:
                run.give_up()

    def suspect_all(self) -> None:
        """Suspect all targets that have not answered lately: one lost link is seldom alone."""
        now_s = anyio.current_time()
        for replica in list(self.directory.entries.values())[:MAX_CHECKED_TARGETS]:
            path = self.path(replica)
            is_known = path.condition is TargetCondition.LINK_LOST
            if not is_known and not path.has_answered_lately(now_s):
                path.is_suspected = True

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer another VM's question which targets this one reaches."""
        try:
            target_ids = decode_msgpack(request.body, list[str])
        except msgspec.DecodeError as error:
            log.warning("peer's question unreadable", reason=str(error))
            await responder.send(Response(400))
            return
        reached = await self.reached_targets(target_ids[:MAX_CHECKED_TARGETS])
        await responder.send(Response(200, (), msgspec.msgpack.encode(reached)))

    async def reached_targets(self, target_ids: list[str]) -> list[str]:
        """Return those of the targets that this VM reaches directly."""
        now_s = anyio.current_time()
        listed = [self.directory.entries.get(TargetId(target_id)) for target_id in target_ids]
        replicas = [replica for replica in listed if replica is not None]
        unknown = [replica for replica in replicas if not self.path(replica).is_known(now_s)]
        connected = await self.probe(unknown)
        for replica in unknown:
            if replica.target_id in connected:
                self.record_check(replica, TargetCondition.REACHED, [])
            else:
                # Only VMs with requests for the target ask others, or all would ask each other.
                self.path(replica).missed_at_s = anyio.current_time()
        return [
            replica.target_id
            for replica in replicas
            if replica.target_id in connected or self.is_reached(replica)
        ]

    def is_reached(self, replica: Replica) -> bool:
        """Return whether this VM has found lately that it reaches a target."""
        path = self.path(replica)
        now_s = anyio.current_time()
        is_fresh = path.has_answered_lately(now_s) or path.has_fresh_check(now_s)
        return is_fresh and path.condition is TargetCondition.REACHED and not path.is_suspected

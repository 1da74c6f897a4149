"""Places requests on targets according to the quarantine's decisions, and notifies the zone."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec

from balsamcleat.decisions.quarantine import (
    Allowed,
    Blocked,
    Quarantine,
    RunIsolated,
    SuspectUpdate,
)
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId, TargetInfo
from balsamcleat.ports import Clock, Metrics
from balsamcleat.tasks.target_probe import accepts_connections

__all__ = ["SUSPECT_NOTICE", "Placement", "QuarantineGuard", "is_reachable"]

SUSPECT_NOTICE = "quarantine"
WAIT_INTERVAL_S = 0.05
# Failures that a target leaves when it crashes; one that crashes silently is met by a timeout.
CRASH_KINDS = frozenset({FailureKind.CUT, FailureKind.SILENT, FailureKind.DEADLINE})

Notify = Callable[[str, bytes], Awaitable[None]]
Probe = Callable[[TargetInfo], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Placement:
    """Target on which an attempt runs.

    Attributes:
        digest: Digest of the request's content.
        target: Target that runs the attempt.
        is_trial: Whether the request is a suspect and runs on the target in isolation.
    """

    digest: str
    target: TargetInfo
    is_trial: bool


async def is_reachable(target: TargetInfo) -> bool:
    """Return whether the target still accepts TCP connections."""
    return await accepts_connections(target.address)


async def discard_notice(kind: str, payload: bytes) -> None:
    """Discard a notice; the default until a link to the zone is set."""


class QuarantineGuard:
    """Applies the quarantine's decisions to the placement of requests.

    Args:
        quarantine: Decides which requests run freely, run in isolation or are blocked.
        router: Chooses targets.
        clock: Monotonic clock.
        metrics: Receives the counters.
        probe: Returns whether a target that closed a connection still accepts connections.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        router: Router,
        clock: Clock,
        metrics: Metrics,
        probe: Probe = is_reachable,
    ) -> None:
        self.quarantine = quarantine
        self.router = router
        self.clock = clock
        self.metrics = metrics
        self.probe = probe
        self.notify_zone: Notify = discard_notice

    async def place(self, digest: str, query: RouteQuery, deadline_s: float) -> Placement | None:
        """Return where the request runs next, or None if there is no target.

        Raises:
            AttemptFailedError: The request is blocked, or no target became free before the
                deadline; nothing was sent.
        """
        while True:
            now_s = self.clock.now_s()
            verdict = self.quarantine.decide(digest, now_s)
            if isinstance(verdict, Allowed):
                return self.place_unrestricted(digest, query, now_s)
            if isinstance(verdict, Blocked):
                self.metrics.count("quarantine.refused")
                raise self.rejection_error(
                    "the request crashed the targets that ran it", FailureKind.POISONED, verdict
                )
            if isinstance(verdict, RunIsolated):
                if self.router.choose(query) is None:
                    return None
                placement = await self.place_exclusively(digest, query, now_s, deadline_s)
                if placement is not None:
                    return placement
            if now_s >= deadline_s:
                raise self.rejection_error(
                    "no target became free to run the request in isolation", FailureKind.DEADLINE
                )
            await self.clock.sleep(WAIT_INTERVAL_S)

    def place_unrestricted(self, digest: str, query: RouteQuery, now_s: float) -> Placement | None:
        """Place a request that is not a suspect.

        A target that is reserved for a trial is chosen only if there is no other.
        """
        reserved = (
            self.quarantine.reserved_targets(now_s) if self.quarantine.suspects else frozenset()
        )
        target = self.router.choose(replace(query, exclude=query.exclude | reserved))
        if target is None and reserved:
            target = self.router.choose(query)
            if target is not None:
                self.quarantine.mark_trial_shared(target.target_id)
        return None if target is None else Placement(digest, target, is_trial=False)

    async def place_exclusively(
        self, digest: str, query: RouteQuery, now_s: float, deadline_s: float
    ) -> Placement | None:
        """Place a suspect on a target that runs nothing else.

        The target is idle or is reserved until its requests have ended. Waiting for a target that
        is idle by chance would starve suspects under load.
        """
        reserved = self.quarantine.reserved_targets(now_s)
        target = self.least_loaded_target(query, reserved)
        if target is None:
            return None
        self.metrics.count("quarantine.trial")
        placement = Placement(digest, target, is_trial=True)
        # Reserve the target before the first await, so that no other request is placed on it.
        await self.broadcast(self.quarantine.begin_trial(digest, target.target_id, now_s))
        try:
            while self.running_requests(target) > 0 and self.clock.now_s() < deadline_s:
                await self.clock.sleep(WAIT_INTERVAL_S)
        except BaseException:
            await self.record_abandonment(placement)
            raise
        if self.running_requests(target) == 0:
            return placement
        await self.record_abandonment(placement)
        return None

    def least_loaded_target(
        self, query: RouteQuery, reserved: frozenset[TargetId]
    ) -> TargetInfo | None:
        """Return the unreserved target with the fewest requests.

        Returns:
            The target; None if half of the targets are reserved already.
        """
        excluded = query.exclude | reserved
        candidates: list[TargetInfo] = []
        while (target := self.router.choose(replace(query, exclude=excluded))) is not None:
            candidates.append(target)
            excluded |= {target.target_id}
            if self.running_requests(target) == 0:
                return target
        if len(reserved) >= max(1, (len(candidates) + len(reserved)) // 2):
            return None
        return min(candidates, key=self.running_requests, default=None)

    async def record_failure(self, placement: Placement, failure: AttemptFailedError) -> None:
        """Record a failed attempt.

        A target that closed the connection or went silent, and that no longer accepts
        connections, has crashed.
        """
        may_have_crashed = failure.perhaps_sent and failure.kind in CRASH_KINDS
        try:
            target_alive = not may_have_crashed or await self.probe(placement.target)
        except BaseException:
            await self.record_abandonment(placement)
            raise
        if target_alive:
            await self.record_survival(placement)
            return
        self.metrics.count("quarantine.crash")
        now_s = self.clock.now_s()
        digest, target_id = placement.digest, placement.target.target_id
        await self.broadcast(self.quarantine.record_crash(digest, target_id, now_s))

    async def record_survival(self, placement: Placement) -> None:
        """Record an attempt that ended without a crash of the target."""
        if not placement.is_trial:
            return
        now_s = self.clock.now_s()
        update = self.quarantine.record_survival(
            placement.digest, placement.target.target_id, now_s
        )
        if update is not None:
            self.metrics.count("quarantine.cleared")
            await self.broadcast(update)

    async def record_abandonment(self, placement: Placement) -> None:
        """Record an attempt that was cancelled, for example because its caller disconnected.

        Without this record, the trial of a cancelled attempt would block requests with the same
        content, and keep the target reserved, until the trial times out.
        """
        if not placement.is_trial:
            return
        now_s = self.clock.now_s()
        update = self.quarantine.record_abandoned_trial(
            placement.digest, placement.target.target_id, now_s
        )
        if update is not None:
            self.metrics.count("quarantine.abandoned")
            await self.broadcast(update)

    def running_requests(self, target: TargetInfo) -> int:
        """Return the number of requests of this VM that run on a target."""
        return self.router.own_in_flight(target.target_id)

    async def broadcast(self, update: SuspectUpdate) -> None:
        """Send an update to the other VMs of the zone."""
        await self.notify_zone(SUSPECT_NOTICE, msgspec.msgpack.encode(update))

    def handle_notice(self, payload: bytes) -> None:
        """Apply an update from a peer."""
        try:
            update = decode_msgpack(payload, SuspectUpdate)
        except msgspec.DecodeError:
            self.metrics.count("quarantine.notice.malformed")
            return
        self.quarantine.apply_update(update, self.clock.now_s())

    def rejection_error(
        self, problem: str, kind: FailureKind, verdict: Blocked | None = None
    ) -> AttemptFailedError:
        """Return the error for a request that was not sent."""
        return AttemptFailedError(
            problem,
            step="quarantine",
            peer=None,
            perhaps_sent=False,
            kind=kind,
            retry_after_s=None if verdict is None else verdict.retry_after_s,
        )

"""Places requests on targets under the quarantine's decisions and tells the zone."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import msgspec

from balsamcleat.decisions.quarantine import (
    Allowed,
    Blocked,
    Quarantine,
    RunIsolated,
    SuspectUpdate,
)
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId, TargetInfo
from balsamcleat.ports import Clock, Metrics

__all__ = ["SUSPECT_NOTICE", "Placement", "QuarantineGuard", "accepts_connections"]

SUSPECT_NOTICE = "quarantine"
WAIT_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.5

Notify = Callable[[str, bytes], Awaitable[None]]
Probe = Callable[[TargetInfo], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Placement:
    """Where an attempt runs.

    Attributes:
        digest: Digest of the request's content.
        target: The target.
        trial: Whether it runs there alone, as a suspect.
    """

    digest: str
    target: TargetInfo
    is_trial: bool


async def accepts_connections(target: TargetInfo) -> bool:
    """Return whether the target still listens."""
    host, _, port = target.address.rpartition(":")
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            await (await anyio.connect_tcp(host, int(port))).aclose()
    except (OSError, TimeoutError):
        return False
    return True


async def discard_notice(kind: str, payload: bytes) -> None:
    """Stand in for the zone where there is none."""


class QuarantineGuard:
    """Carries the quarantine's decisions out.

    Args:
        quarantine: The decisions.
        router: The routing decisions.
        clock: The clock.
        metrics: Where counts go.
        probe: Returns whether a target that cut a connection still listens.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        router: Router,
        clock: Clock,
        metrics: Metrics,
        probe: Probe = accepts_connections,
    ) -> None:
        self.quarantine = quarantine
        self.router = router
        self.clock = clock
        self.metrics = metrics
        self.probe = probe
        self.notify_zone: Notify = discard_notice

    async def place(self, digest: str, query: RouteQuery, deadline_s: float) -> Placement | None:
        """Return where the request runs next, or None when there is no target.

        Raises:
            AttemptFailedError: The request is refused, or its turn did not come in time;
                nothing was sent.
        """
        while True:
            now_s = self.clock.now_s()
            verdict = self.quarantine.decide(digest, now_s)
            if isinstance(verdict, Allowed):
                return self.place_unrestricted(digest, query, now_s)
            if isinstance(verdict, Blocked):
                self.metrics.count("quarantine.refused")
                raise self.rejection_error(
                    "it crashed the targets that ran it", FailureKind.POISONED, verdict
                )
            if isinstance(verdict, RunIsolated):
                if self.router.choose(query) is None:
                    return None
                placement = await self.place_exclusively(digest, query, now_s, deadline_s)
                if placement is not None:
                    return placement
            if now_s >= deadline_s:
                raise self.rejection_error(
                    "no target became free for it alone", FailureKind.DEADLINE
                )
            await self.clock.sleep(WAIT_INTERVAL_S)

    def place_unrestricted(self, digest: str, query: RouteQuery, now_s: float) -> Placement | None:
        """Place a request that nothing speaks against, beside trials only where it must."""
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
        """Place a suspect on a target of its own: an idle one, or one that is emptied for it.

        Waiting for a target that happens to run nothing would starve suspects under load.
        """
        reserved = self.quarantine.reserved_targets(now_s)
        target = self.least_loaded_target(query, reserved)
        if target is None:
            return None
        self.metrics.count("quarantine.trial")
        placement = Placement(digest, target, is_trial=True)
        # Reserved before anything is awaited, so that nothing slips in.
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
        """Return the free target with the least work; None when half of them are reserved."""
        taken = query.exclude | reserved
        found: list[TargetInfo] = []
        while (target := self.router.choose(replace(query, exclude=taken))) is not None:
            found.append(target)
            taken |= {target.target_id}
            if self.running_requests(target) == 0:
                return target
        if len(reserved) >= max(1, (len(found) + len(reserved)) // 2):
            return None
        return min(found, key=self.running_requests, default=None)

    async def record_failure(self, placement: Placement, failure: AttemptFailedError) -> None:
        """Take note of a failed attempt; a cut by a target that is gone counts as its crash."""
        cut = failure.kind is FailureKind.CUT and failure.perhaps_sent
        try:
            alive = not cut or await self.probe(placement.target)
        except BaseException:
            await self.record_abandonment(placement)
            raise
        if alive:
            await self.record_survival(placement)
            return
        self.metrics.count("quarantine.crash")
        now_s = self.clock.now_s()
        digest, target_id = placement.digest, placement.target.target_id
        await self.broadcast(self.quarantine.record_crash(digest, target_id, now_s))

    async def record_survival(self, placement: Placement) -> None:
        """Take note of an attempt that ended without a crash."""
        if not placement.is_trial:
            return
        now_s = self.clock.now_s()
        news = self.quarantine.record_survival(placement.digest, placement.target.target_id, now_s)
        if news is not None:
            self.metrics.count("quarantine.cleared")
            await self.broadcast(news)

    async def record_abandonment(self, placement: Placement) -> None:
        """Take note of an attempt that was given up, as when its caller left.

        Its trial would else hold up the same content, and its target, until the trial's time is
        over.
        """
        if not placement.is_trial:
            return
        now_s = self.clock.now_s()
        news = self.quarantine.record_abandoned_trial(
            placement.digest, placement.target.target_id, now_s
        )
        if news is not None:
            self.metrics.count("quarantine.abandoned")
            await self.broadcast(news)

    def running_requests(self, target: TargetInfo) -> int:
        """Return how many requests of this VM run on a target."""
        return self.router.own_in_flight(target.target_id)

    async def broadcast(self, news: SuspectUpdate) -> None:
        """Tell the zone's other VMs."""
        await self.notify_zone(SUSPECT_NOTICE, msgspec.msgpack.encode(news))

    def handle_notice(self, payload: bytes) -> None:
        """Take news from a peer."""
        try:
            news = msgspec.msgpack.decode(payload, type=SuspectUpdate)
        except msgspec.DecodeError:
            self.metrics.count("quarantine.notice.malformed")
            return
        self.quarantine.apply_update(news, self.clock.now_s())

    def rejection_error(
        self, problem: str, kind: FailureKind, verdict: Blocked | None = None
    ) -> AttemptFailedError:
        """Return the failure of a request that was not sent."""
        return AttemptFailedError(
            problem,
            step="quarantine",
            peer=None,
            perhaps_sent=False,
            kind=kind,
            retry_after_s=None if verdict is None else verdict.retry_after_s,
        )

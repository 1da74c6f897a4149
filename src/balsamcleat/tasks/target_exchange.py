"""Exchanges with targets; a target that announces its departure gets no further request."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Exchange, Request
from balsamcleat.model import FailureKind
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import announces_departure, is_misdirected, parse_announced_limit
from balsamcleat.tasks.limit_sharing import log_limit_change

__all__ = ["TargetExchange"]

log = structlog.get_logger()


class TargetExchange(Exchange):
    """Exchange with a target: all calls, streams, samples and scoring requests are sent by one.

    Args:
        pool: Pool of connections to the targets.
        directory: Directory of the targets.
        replica: Target that the request is sent to.
        request: Request to send.
        is_permitted: Returns whether the request may be sent now; asked right before that.
        limits: Limits that the targets name.
        is_live: Whether a live caller waits for the response.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        replica: Replica,
        request: Request,
        is_permitted: Callable[[], bool],
        limits: TargetLimits,
        *,
        is_live: bool = True,
    ) -> None:
        super().__init__(pool, replica.address, request, is_permitted)
        self.directory = directory
        self.replica = replica
        self.limits = limits
        self.is_live = is_live

    def check_permission(self) -> None:
        """Check that the request may still be sent, and that the target still takes requests.

        Raises:
            AttemptFailedError: The request must not be sent to the target; nothing was sent.
        """
        if not self.directory.takes_requests(self.replica):
            # The target may have left while the request waited for a permission to run.
            raise self.failure("the target takes no more requests", FailureKind.UNREACHED)
        super().check_permission()
        if not self.limits.take(self.replica.target_id, anyio.current_time(), is_live=self.is_live):
            raise AttemptFailedError(
                "the target's limit is used up",
                step="target.limit",
                peer=self.replica.target_id,
                perhaps_sent=False,
                kind=FailureKind.LIMITED,
            )

    async def read_head(self) -> None:
        """Read the head of a response and record what the target says of itself in it."""
        await super().read_head()
        if not is_misdirected(self.status):
            self.record_limit()
        if announces_departure(self.status, self.headers) and self.directory.mark_leaving(
            self.replica
        ):
            log.info(
                "target leaving",
                target=self.replica.target_id,
                service=self.replica.service,
                address=self.replica.address,
                row_version=self.replica.entry_version,
            )

    def record_limit(self) -> None:
        """Record the limit that the target names, or that it names none."""
        replica = self.replica
        try:
            limit_per_s = parse_announced_limit(self.headers)
        except ValueError as error:
            log.warning("target limit ignored", target=replica.target_id, reason=str(error))
            return
        change = self.limits.record_response(
            replica.target_id, replica.service, limit_per_s, anyio.current_time()
        )
        if change is not None:
            log_limit_change(change, source="response")

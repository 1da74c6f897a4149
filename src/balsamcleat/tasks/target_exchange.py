"""Exchanges with targets; a target that announces its departure gets no further request."""

from collections.abc import Callable
from enum import Enum

import anyio
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.decisions.stream_origin import StreamOrigin, origin_of
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Exchange, Request
from balsamcleat.model import FailureKind
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import (
    announces_departure,
    is_misdirected,
    parse_announced_limit,
    parse_started_ms,
    report_request,
)
from balsamcleat.tasks.limit_sharing import log_limit_change

__all__ = ["StartCheck", "TargetExchange"]

# A target that runs answers a question for its state within some milliseconds.
REPORT_TIMEOUT_S = 0.4

log = structlog.get_logger()


class StartCheck(Enum):
    """Whether the start of the target must be certain before the request is sent."""

    NONE = "none"
    # The stream may have to go on elsewhere; a target that names no start may begin it.
    WANTED = "wanted"
    # The stream goes on here, so the target's software must be the one that began it.
    REQUIRED = "required"


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
        start_check: Whether the start of the target must be certain.
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
        start_check: StartCheck = StartCheck.NONE,
    ) -> None:
        super().__init__(pool, replica.address, request, is_permitted)
        self.directory = directory
        self.replica = replica
        self.limits = limits
        self.is_live = is_live
        self.start_check = start_check

    @property
    def is_start_confirmed(self) -> bool:
        """Whether the target named the start on this connection that the list shows."""
        assert self.connection is not None
        return self.connection.server_identity == start_identity(self.replica)

    def origin(self) -> StreamOrigin | None:
        """Return the origin of a stream that begins with this response, if it may go on."""
        assert self.connection is not None
        return origin_of(
            self.replica, self.connection.opened_at_s, is_confirmed=self.is_start_confirmed
        )

    async def prepare_connection(self) -> None:
        """Make sure of the target's start where that is wanted.

        Raises:
            AttemptFailedError: The target has started again, or its start is not certain although
                that is required; nothing was sent.
        """
        assert self.connection is not None
        if self.start_check is StartCheck.NONE or self.is_start_confirmed:
            return
        if self.directory.has_reached(self.replica.start, self.connection.opened_at_s):
            return
        response = await self.ask_server(report_request(self.replica), REPORT_TIMEOUT_S)
        started_ms = parse_started_ms(response)
        if started_ms == self.replica.started_ms:
            self.connection.server_identity = start_identity(self.replica)
        elif started_ms is not None and self.replica.started_ms:
            self.handle_other_start(started_ms)
        elif self.start_check is StartCheck.REQUIRED:
            raise self.failure("the target names no start", FailureKind.UNREACHED)

    def handle_other_start(self, started_ms: int) -> None:
        """Record that the target has started again, which the list does not show yet.

        Raises:
            AttemptFailedError: Always; nothing was sent.
        """
        log.warning(
            "target started unseen",
            target=self.replica.target_id,
            listed_ms=self.replica.started_ms,
            started_ms=started_ms,
        )
        self.directory.mark_ended(self.replica, anyio.current_time())
        raise self.failure("the target has started again", FailureKind.UNREACHED)

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
            self.replica, anyio.current_time()
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


def start_identity(replica: Replica) -> str:
    """Return the identity of the start of a target that the list shows."""
    return f"{replica.target_id}/{replica.started_ms}"

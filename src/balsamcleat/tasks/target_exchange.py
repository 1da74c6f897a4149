"""Exchanges with targets; a target that announces its departure gets no further request."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStats
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.decisions.stream_origin import StreamOrigin, origin_of
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import CONNECT_STEP, ConnectionPool, Exchange, Request, is_success
from balsamcleat.model import FailureKind, TeamName
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import (
    ResponseMetadata,
    announces_departure,
    is_misdirected,
    parse_announced_limit,
    parse_response_metadata,
    parse_started_ms,
    report_request,
)
from balsamcleat.tasks.hop_messages import StartCheck, parse_hop_result, wrap_request
from balsamcleat.tasks.limit_sharing import log_limit_change
from balsamcleat.tasks.target_paths import TargetPaths, WatchedRun

__all__ = ["FAILURES_OF_THIS_VM", "TargetExchange"]

# A target that runs answers a question for its state within some milliseconds.
REPORT_TIMEOUT_S = 0.4
# Time without bytes after which the link to a target is suspected. A sample may wait for its first
# event for longer, but a check costs only a connection.
LIVE_PATIENCE_S = 0.25
SAMPLE_PATIENCE_S = 0.6

# Kinds of failures that say nothing about the target.
FAILURES_OF_THIS_VM = (
    FailureKind.LIMITED,
    FailureKind.LINK_LOST,
    FailureKind.INVALID_REQUEST,
)

log = structlog.get_logger()


class TargetExchange(Exchange, WatchedRun):
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
        paths: Tells which targets this VM reaches; None calls the target directly.
        can_repeat: Whether the request may run again elsewhere.
        can_be_passed_on: Whether another VM may pass the request on; one that was passed on may not
            be again.
        takes_limit: Whether the request counts as one of this VM's for the target's limit.
        expects_stamp: Whether the target puts its stamp on responses to the request.
        team: Team that the request names to the target, if any.

    Attributes:
        relay: VM that passes the request on, or None if it is sent directly.
        is_given_up: Whether the request was ended because its link was lost.
        had_arrived: Whether the request had arrived at the target when it was given up.
        metadata: What the head of the target's response says.
        on_send: Called right before the request is sent.
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
        paths: TargetPaths | None = None,
        can_repeat: bool = False,
        can_be_passed_on: bool = True,
        takes_limit: bool = True,
        expects_stamp: bool = True,
        team: TeamName | None = None,
    ) -> None:
        super().__init__(pool, replica.address, request, is_permitted)
        self.directory = directory
        self.replica = replica
        self.limits = limits
        self.is_live = is_live
        self.start_check = start_check
        self.paths = paths
        self.can_repeat = can_repeat
        self.can_be_passed_on = can_be_passed_on
        self.takes_limit = takes_limit
        self.expects_stamp = expects_stamp
        self.team = team
        self.patience_s = LIVE_PATIENCE_S if is_live else SAMPLE_PATIENCE_S
        self.progress_at_s = anyio.current_time()
        self.relay: VmRow | None = None
        self.is_given_up = False
        self.had_arrived = False
        self.on_send: Callable[[], None] = lambda: None
        self.is_unframed = False
        self.is_start_certain_at_relay = False
        self.metadata = ResponseMetadata(is_not_run=False, target_stamp=None)

    async def begin(self, *, force_new_connection: bool = False) -> None:
        """Send the request, directly or by a VM that reaches the target, and read the head.

        Raises:
            AttemptFailedError: The request must not or could not be sent, or the response could not
                be read.
        """
        self.choose_path(needs_new_connection=force_new_connection)
        self.progress_at_s = anyio.current_time()
        if self.paths is not None and self.relay is None:
            self.paths.watch(self)
        try:
            is_fresh = force_new_connection and self.relay is None
            await super().begin(force_new_connection=is_fresh)
        except AttemptFailedError as error:
            self.record_path_failure(error)
            raise

    def choose_path(self, *, needs_new_connection: bool) -> None:
        """Choose a VM that passes the request on if this VM has lost its link to the target.

        Raises:
            AttemptFailedError: No VM is known to reach the target; nothing was sent.
        """
        if self.paths is None or not self.can_be_passed_on:
            return
        self.relay = self.paths.choose_relay(self.replica)
        if self.relay is not None:
            self.pool = self.paths.relay_pool
            self.address = self.relay.address
            self.request = wrap_request(
                self.request,
                self.replica,
                self.start_check,
                needs_new_connection=needs_new_connection,
                is_live=self.is_live,
                team=self.team,
            )
        elif self.paths.is_unreachable(self.replica) and not self.pool.has_idle(self.address):
            raise self.failure("no VM reaches the target", FailureKind.UNREACHED)

    def record_path_failure(self, error: AttemptFailedError) -> None:
        """Record a failure that may come from the way to the target."""
        if self.paths is None:
            return
        if self.relay is not None:
            if error.kind in (FailureKind.UNREACHED, FailureKind.LINK_LOST):
                self.paths.drop_relay(self.replica, self.relay)
        elif error.step == CONNECT_STEP or error.kind in (FailureKind.CUT, FailureKind.SILENT):
            self.paths.suspect(self.replica)

    def failure(self, message: str, kind: FailureKind) -> AttemptFailedError:
        """Return an error for this exchange; a lost link says nothing about the target."""
        is_link = self.relay is not None or self.is_given_up
        if is_link and kind in (FailureKind.CUT, FailureKind.SILENT):
            kind = FailureKind.LINK_LOST
        return super().failure(message, kind)

    def give_up(self) -> None:
        """End the exchange, since its link is lost; the task that reads from it gets an error.

        The connection is reset: a closed one would deliver the request once the link is back.
        """
        self.had_arrived = super().has_arrived()
        self.is_given_up = True
        if self.connection is not None:
            self.connection.stream.reset()

    def has_arrived(self) -> bool:
        """Return whether the whole request has arrived; that of a lost link as far as is known."""
        return self.had_arrived if self.is_given_up else super().has_arrived()

    async def next_event(self) -> object:
        """Return the parser's next event, and record the progress of the request."""
        event = await super().next_event()
        self.progress_at_s = anyio.current_time()
        return event

    def end(self) -> None:
        """Release or close the connection."""
        if self.paths is not None:
            self.paths.unwatch(self)
        super().end()

    @property
    def has_explicit_framing(self) -> bool:
        """Whether the end of the target's response is marked by more than the end of the bytes."""
        return super().has_explicit_framing and not self.is_unframed

    @property
    def is_start_confirmed(self) -> bool:
        """Whether the target named the start on this connection that the list shows."""
        if self.relay is not None:
            return self.is_start_certain_at_relay
        assert self.connection is not None
        return self.connection.server_identity == start_identity(self.replica)

    def origin(self) -> StreamOrigin | None:
        """Return the origin of a stream that begins with this response, if it may go on."""
        assert self.connection is not None
        connected_at_s = self.connection.opened_at_s
        if self.relay is not None:
            # The other VM's connection to the target was opened at some time before now.
            connected_at_s = anyio.current_time()
        return origin_of(self.replica, connected_at_s, is_confirmed=self.is_start_confirmed)

    async def prepare_connection(self) -> None:
        """Make sure of the target's start where that is wanted.

        Raises:
            AttemptFailedError: The target has started again, or its start is not certain although
                that is required; nothing was sent.
        """
        assert self.connection is not None
        is_checked_elsewhere = self.relay is not None
        if self.start_check is StartCheck.NONE or is_checked_elsewhere or self.is_start_confirmed:
            return
        if self.directory.has_reached(self.replica.start, self.connection.opened_at_s):
            return
        if self.start_check is StartCheck.WANTED and self.directory.is_unnamed(self.replica):
            return
        started_ms = await self.ask_start()
        if started_ms == self.replica.started_ms:
            self.connection.server_identity = start_identity(self.replica)
            self.directory.record_alive(self.replica.start, anyio.current_time())
        elif started_ms is not None and self.replica.started_ms:
            self.handle_other_start(started_ms)
        elif self.start_check is StartCheck.REQUIRED:
            raise self.failure("the target names no start", FailureKind.UNREACHED)

    async def ask_start(self) -> int | None:
        """Return the start that the target names, in Unix milliseconds, or None if it names none.

        Raises:
            AttemptFailedError: The connection can't be used after the question, and the start is
                required or no other connection could be opened; nothing was sent.
        """
        try:
            response = await self.ask_server(report_request(self.replica), REPORT_TIMEOUT_S)
        except AttemptFailedError:
            if self.start_check is StartCheck.REQUIRED:
                raise
            await self.reconnect()
            return None
        started_ms = parse_started_ms(response)
        if started_ms is None:
            self.directory.record_unnamed(self.replica)
        return started_ms

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
        if self.takes_limit and not self.limits.take(
            self.replica.target_id, anyio.current_time(), is_live=self.is_live
        ):
            raise AttemptFailedError(
                "the target's limit is used up",
                step="target.limit",
                peer=self.replica.target_id,
                perhaps_sent=False,
                kind=FailureKind.LIMITED,
            )
        self.on_send()

    async def read_matching_head(self) -> None:
        """Read the head of the response that belongs to the request.

        Raises:
            AttemptFailedError: The head could not be read, or is not the target's.
        """
        await super().read_matching_head()
        self.metadata = parse_response_metadata(self.status, self.headers)
        if self.expects_stamp and not self.is_from_target():
            raise self.failure("the response lacks the target's stamp", FailureKind.MALFORMED)

    def record_load(self, stats: ReplicaStats) -> None:
        """Record the load that the target states in its response, if it states one."""
        metadata = self.metadata
        if metadata.running_count is not None:
            stats.record_load(
                metadata.running_count,
                metadata.waiting_count,
                anyio.current_time(),
                metadata.pace_ratio,
            )

    def is_from_target(self) -> bool:
        """Return whether the target itself answered or rejected the request.

        It puts its stamp on both, or says that it did not run the request. Where no caller gets the
        response, a failure that names the request is enough, so that it is counted.
        """
        if self.metadata.is_not_run or self.metadata.has_target_stamp:
            return True
        names_request = self.pool.correlation_id(self.headers) is not None
        return names_request and not self.is_live and not is_success(self.status)

    async def read_head(self) -> None:
        """Read the head of a response and record what the target says of itself in it."""
        await super().read_head()
        if self.relay is not None:
            self.read_hop_result()
        elif self.paths is not None:
            self.paths.record_answer(self.replica)
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

    def read_hop_result(self) -> None:
        """Take what the VM that passed the request on says of it from the response's headers.

        Raises:
            AttemptFailedError: The target sent no response to that VM.
        """
        result = parse_hop_result(self.headers)
        self.headers = result.headers
        self.is_unframed = result.is_unframed
        self.is_start_certain_at_relay = result.is_start_certain
        if result.failure is not None:
            self.perhaps_sent = result.perhaps_sent
            # That VM judges itself whether the target crashed, since it has the link.
            is_cut = result.failure in (FailureKind.CUT, FailureKind.SILENT)
            kind = FailureKind.FAULT if is_cut else result.failure
            raise self.failure("the VM that passed the request on got no response", kind)

    def record_limit(self) -> None:
        """Record the limit that the target names, or that it names none.

        What a start says that the list does not show holds neither for a later start nor for long.
        """
        replica = self.replica
        if not self.directory.shows_start(replica.start):
            return
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

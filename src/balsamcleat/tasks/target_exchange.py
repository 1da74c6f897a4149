"""Exchanges with targets; a target that announces its departure gets no further request."""

from collections.abc import Callable

import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.http1 import ConnectionPool, Exchange, Request
from balsamcleat.model import FailureKind
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import announces_departure

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
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        replica: Replica,
        request: Request,
        is_permitted: Callable[[], bool],
    ) -> None:
        super().__init__(pool, replica.address, request, is_permitted)
        self.directory = directory
        self.replica = replica

    def check_permission(self) -> None:
        """Check that the request may still be sent, and that the target still takes requests.

        Raises:
            AttemptFailedError: The request must not be sent to the target; nothing was sent.
        """
        if not self.directory.takes_requests(self.replica):
            # The target may have left while the request waited for a permission to run.
            raise self.failure("the target takes no more requests", FailureKind.UNREACHED)
        super().check_permission()

    async def read_head(self) -> None:
        """Read the head of a response and record whether the target announces its departure."""
        await super().read_head()
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

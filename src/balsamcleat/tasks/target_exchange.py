"""Exchanges with targets; a target that announces its departure gets no further request."""

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
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        replica: Replica,
        request: Request,
    ) -> None:
        super().__init__(pool, replica.address, request)
        self.directory = directory
        self.replica = replica

    async def begin(self, *, force_new_connection: bool = False) -> None:
        """Send the request and read the status line and headers of its response.

        Raises:
            AttemptFailedError: The target takes no requests any more, the request could not be
                sent, or the response could not be read.
        """
        if not self.directory.takes_requests(self.replica):
            # The target may have left while the request waited for a permission to run.
            raise self.failure("the target takes no more requests", FailureKind.UNREACHED)
        await super().begin(force_new_connection=force_new_connection)

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

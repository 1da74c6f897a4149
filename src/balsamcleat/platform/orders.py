"""Orders to model engines and their reports."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ClientPool, Headers, Request
from balsamcleat.model import TargetId, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.platform.headers import EXPECTED_TARGET_HEADER

__all__ = ["OrderOutcome", "OrderResult", "ReplicaControl"]

ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.6


class OrderResult(Enum):
    """What became of an order."""

    STARTED = "started"
    HOLDS_ALREADY = "holds already"
    # Another order is in progress, or the target's count of orders differs.
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "invalid"
    OTHER_TARGET = "other target"
    # It may have been accepted, or be carried out later.
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """An order's end and the status that told it; 0 where none came."""

    result: OrderResult
    status: int = 0


RESULTS_BY_STATUS = {
    202: OrderResult.STARTED,
    200: OrderResult.HOLDS_ALREADY,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    400: OrderResult.INVALID,
    421: OrderResult.OTHER_TARGET,
}


class OrderFields(msgspec.Struct, frozen=True):
    """An order to change a model's version; ``expected`` is the target's count of orders."""

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int


class ModelFields(msgspec.Struct, frozen=True):
    """A model on a target."""

    name: str
    version: int = 0


class ReportFields(msgspec.Struct, frozen=True, rename="camel"):
    """A target's state."""

    models: list[ModelFields] = []
    # Whether an order is in progress; says nothing of the load.
    busy: bool = False
    # The number of orders accepted; in the list of targets the name stands for something else.
    call_seq: int = 0
    born: int = 0


class ReplicaControl:
    """Gives orders to model engines and asks for their state.

    Args:
        pool: Connections of this process.
        holder: This VM's name, as orders bear it.
    """

    def __init__(self, pool: ClientPool, holder: str) -> None:
        self.pool = pool
        self.holder = holder

    async def order_load(
        self,
        replica: Replica,
        model: str,
        version: WeightVersion,
        *,
        fencing_token: int,
        order_count: int,
        continue_samples: bool,
    ) -> OrderOutcome:
        """Order a target to load a weight version.

        Args:
            replica: The target.
            model: The model.
            version: The version.
            fencing_token: Grows with each holder.
            order_count: Orders it has accepted so far; with another count it does nothing.
            continue_samples: Whether running samples go on under the new version, rather than the
                order waiting for them.
        """
        body = OrderFields(
            op="version",
            model=model,
            version=version,
            mode="retain" if continue_samples else "block",
            holder=self.holder,
            fence=fencing_token,
            expected=order_count,
        )
        headers = self.request_headers(replica.address, replica.target_id)
        request = Request("POST", "/order", headers, msgspec.json.encode(body))
        try:
            response = await self.pool.fetch(replica.address, request, ORDER_TIMEOUT_S)
        except AttemptFailedError as error:
            maybe_sent = error.perhaps_sent
            return OrderOutcome(OrderResult.UNKNOWN if maybe_sent else OrderResult.NOT_SENT)
        return OrderOutcome(
            RESULTS_BY_STATUS.get(response.status, OrderResult.UNKNOWN), response.status
        )

    async def fetch_report(self, replica: Replica) -> ReplicaReport:
        """Return a target's state.

        Raises:
            AttemptFailedError: It didn't answer, or not with its state.
        """
        request = Request(
            "GET", "/report", self.request_headers(replica.address, replica.target_id)
        )
        response = await self.pool.fetch(replica.address, request, REPORT_TIMEOUT_S)
        try:
            fields = msgspec.json.decode(response.body, type=ReportFields)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise AttemptFailedError(
                f"no report: {error}",
                step="replica.report",
                peer=replica.address,
                perhaps_sent=True,
            ) from error
        return ReplicaReport(
            versions={model.name: WeightVersion(model.version) for model in fields.models},
            loading=fields.busy,
            order_count=fields.call_seq,
            started_ms=fields.born,
        )

    def request_headers(self, address: str, target_id: TargetId) -> Headers:
        """Return the headers of a call to one target."""
        return (
            ("Host", address),
            ("Content-Type", "application/json"),
            (EXPECTED_TARGET_HEADER, target_id),
        )

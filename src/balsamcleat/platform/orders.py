"""Client for the control interface of model engines: load orders and state reports."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec

from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Headers, Request, Response, is_success
from balsamcleat.model import WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.platform.documents import LoadedModelFields, StoredInteger
from balsamcleat.platform.headers import EXPECTED_TARGET_HEADER

__all__ = ["OrderOutcome", "OrderResult", "ReplicaControl", "parse_started_ms", "report_request"]

ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.6


class OrderResult(Enum):
    """Result of an order to a target."""

    STARTED = "started"
    HOLDS_ALREADY = "holds already"
    # The target is executing another order, or has accepted a different number of orders than
    # expected.
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "invalid"
    OTHER_TARGET = "other target"
    # The target may have accepted the order, or may still execute it later.
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of an order with the HTTP status of the response; 0 if no response was received."""

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
    """Order to change the version of a model.

    ``expected`` is the number of orders that the target has to have accepted before.
    """

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected: int


class ReportFields(msgspec.Struct, frozen=True, rename="camel"):
    """Report of a target's state."""

    models: list[LoadedModelFields]
    # Whether the target is executing an order; unrelated to its load.
    busy: bool
    # Number of orders that the target has accepted; in the target list the same name counts the
    # writes of an entry.
    call_seq: StoredInteger
    born: StoredInteger = 0


class StartFields(msgspec.Struct, frozen=True):
    """Start of the target that sends a report, in Unix milliseconds."""

    born: StoredInteger | None = None


class ReplicaControl:
    """Sends load orders to model engines and fetches their state reports.

    Args:
        pool: HTTP connections to targets.
        holder: Name of this VM, which its orders contain as the holder of the lease.
    """

    def __init__(self, pool: ConnectionPool, holder: str) -> None:
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
        is_permitted: Callable[[], bool],
    ) -> OrderOutcome:
        """Order a target to load a weight version.

        Args:
            replica: Target that receives the order.
            model: Name of the model.
            version: Weight version to load.
            fencing_token: Fencing token of the lease on orders; it increases with each holder.
            order_count: Number of orders that the target has accepted so far; if its own count
                differs, the target does not execute the order.
            continue_samples: Whether running samples continue with the new version; otherwise the
                order waits until they have finished.
            is_permitted: Returns whether this VM may send orders now; asked right before sending.
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
        headers = request_headers(replica)
        request = Request("POST", "/order", headers, msgspec.json.encode(body))
        try:
            response = await self.pool.fetch(
                replica.address, request, ORDER_TIMEOUT_S, is_permitted=is_permitted
            )
        except AttemptFailedError as error:
            maybe_sent = error.perhaps_sent
            return OrderOutcome(OrderResult.UNKNOWN if maybe_sent else OrderResult.NOT_SENT)
        if response.body and is_success(response.status):
            # The answer to an order has no body: this is a copy of an earlier report.
            return OrderOutcome(OrderResult.UNKNOWN)
        return OrderOutcome(
            RESULTS_BY_STATUS.get(response.status, OrderResult.UNKNOWN), response.status
        )

    async def fetch_report(self, replica: Replica) -> ReplicaReport:
        """Return the state that a target reports.

        Raises:
            AttemptFailedError: The target did not respond, or its response is not a report.
        """
        response = await self.pool.fetch(replica.address, report_request(replica), REPORT_TIMEOUT_S)
        if not is_success(response.status):
            raise report_error(replica, f"status {response.status}")
        try:
            fields = decode_json(response.body, ReportFields)
        except msgspec.DecodeError as error:
            raise report_error(replica, str(error)) from error
        return ReplicaReport(
            versions={model.name: WeightVersion(model.version) for model in fields.models},
            loading=fields.busy,
            order_count=fields.call_seq,
            started_ms=fields.born,
        )


def report_error(replica: Replica, reason: str) -> AttemptFailedError:
    """Return the error for a response that is no report of a target's state."""
    return AttemptFailedError(
        f"invalid state report: {reason}",
        step="replica.report",
        peer=replica.address,
        perhaps_sent=True,
    )


def report_request(replica: Replica) -> Request:
    """Return the request for a target's report of its state."""
    return Request("GET", "/report", request_headers(replica))


def parse_started_ms(response: Response) -> int | None:
    """Return the start of the target that sent a report, in Unix milliseconds, or None."""
    if not is_success(response.status):
        return None
    try:
        return decode_json(response.body, StartFields).born
    except msgspec.DecodeError:
        return None


def request_headers(replica: Replica) -> Headers:
    """Return the headers of a request to the control interface of one target."""
    return (
        ("Host", replica.address),
        ("Content-Type", "application/json"),
        (EXPECTED_TARGET_HEADER, replica.target_id),
    )

"""Client for the platform's interface for duties: usage reports and orders of targets."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import msgspec

from balsamcleat.decisions.duty_fitness import CallFitness
from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import (
    CONNECT_STEP,
    ConnectionPool,
    PoolLimits,
    Request,
    Response,
    header_value,
)
from balsamcleat.http1.numbers import decimal_number
from balsamcleat.model import ServiceName, TeamName, VmId, ZoneName
from balsamcleat.ports.duties import (
    Duty,
    DutyClient,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
    UsageReport,
)

__all__ = [
    "DUTY_POOL_LIMITS",
    "DutyChannel",
    "PlatformDutyClient",
    "ReceivedDutyCall",
    "decode_duty_call",
]

# Nothing is sent later than the end of the holder's permission, and a response that takes longer
# leaves too little time to repeat the call before a report is due.
CALL_TIMEOUT_S = 1.0
DUTY_POOL_LIMITS = PoolLimits(connect_timeout_s=0.5, max_idle_connections=4, resets_abandoned=True)
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
HOLDER_HEADER = "Duty-Holder"
FENCE_HEADER = "Fence-Token"
OUTCOMES_BY_STATUS = {
    200: DutyOutcome.ACCEPTED,
    409: DutyOutcome.UNAVAILABLE,
    429: DutyOutcome.THROTTLED,
    # The platform turned the call away before it had any effect.
    503: DutyOutcome.THROTTLED,
}


class UsageFields(msgspec.Struct, frozen=True, rename="camel"):
    """Usage report on the wire."""

    window_id: int
    counts: dict[str, int]


class ScaleFields(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    """Order of targets on the wire; ``targetGroups`` is a number of targets."""

    svc: str
    zone: str
    target_groups: int
    spot: bool = False


@dataclass(frozen=True, slots=True)
class DutyChannel:
    """Lease that permits the calls of a duty, and what judges the VM by how they ended."""

    lease: DutyLease
    fitness: CallFitness


class PlatformDutyClient(DutyClient):
    """Sends the calls of duties over HTTP while this VM holds the lease that they name.

    Args:
        current_address: Returns the address of the interface, or None if there is none.
        pool: HTTP connections to the interface. It resets abandoned connections, so that a call
            without a response can't arrive after the next one.
        channels: Lease and fitness for each duty.
    """

    def __init__(
        self,
        current_address: Callable[[], str | None],
        pool: ConnectionPool,
        channels: Mapping[Duty, DutyChannel],
    ) -> None:
        self.current_address = current_address
        self.pool = pool
        self.channels = channels

    async def report_usage(self, report: UsageReport, stamp: DutyStamp) -> DutyOutcome:
        """Send the usage of one window."""
        fields = UsageFields(report.window, {str(team): n for team, n in report.counts.items()})
        return await self.call(Duty.USAGE, USAGE_PATH, msgspec.json.encode(fields), stamp)

    async def order_targets(self, order: TargetCountOrder, stamp: DutyStamp) -> DutyOutcome:
        """Order the number of targets of a service in an availability zone."""
        fields = ScaleFields(order.service, order.zone, order.count, order.reclaimable)
        return await self.call(Duty.SCALING, SCALE_PATH, msgspec.json.encode(fields), stamp)

    async def call(self, duty: Duty, path: str, body: bytes, stamp: DutyStamp) -> DutyOutcome:
        """Send a call and return its outcome."""
        address, channel = self.current_address(), self.channels[duty]
        if address is None:
            return DutyOutcome.NOT_SENT
        headers = (
            ("Host", address),
            ("Content-Type", "application/json"),
            (HOLDER_HEADER, stamp.holder),
            (FENCE_HEADER, str(stamp.fencing_token)),
        )
        request = Request("POST", path, headers, body)
        started_s = anyio.current_time()
        try:
            response = await self.pool.fetch(
                address,
                request,
                CALL_TIMEOUT_S,
                is_permitted=lambda: channel.lease.permits(stamp),
            )
        except AttemptFailedError as error:
            if error.perhaps_sent or error.step == CONNECT_STEP:
                channel.fitness.record_unanswered(started_s, anyio.current_time())
            return DutyOutcome.UNKNOWN if error.perhaps_sent else DutyOutcome.NOT_SENT
        channel.fitness.record_answered()
        return outcome_of(response)


def outcome_of(response: Response) -> DutyOutcome:
    """Return the outcome that a response states."""
    outcome = OUTCOMES_BY_STATUS.get(response.status)
    if outcome is not None:
        return outcome
    return DutyOutcome.INVALID if 400 <= response.status < 500 else DutyOutcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class ReceivedDutyCall:
    """Call of a duty as its receiver decodes it."""

    duty: Duty
    stamp: DutyStamp
    content: UsageReport | TargetCountOrder


def decode_duty_call(request: Request) -> ReceivedDutyCall | None:
    """Return the call in a request, or None if it is not a valid call."""
    holder = header_value(request.headers, HOLDER_HEADER)
    token = decimal_number(header_value(request.headers, FENCE_HEADER) or "")
    if request.method != "POST" or not holder or token is None:
        return None
    stamp = DutyStamp(VmId(holder), token)
    try:
        if request.path == USAGE_PATH:
            usage = decode_json(request.body, UsageFields)
            counts = {TeamName(team): count for team, count in usage.counts.items()}
            return ReceivedDutyCall(Duty.USAGE, stamp, UsageReport(usage.window_id, counts))
        if request.path == SCALE_PATH:
            scale = decode_json(request.body, ScaleFields)
            order = TargetCountOrder(
                ServiceName(scale.svc), ZoneName(scale.zone), scale.target_groups, scale.spot
            )
            return ReceivedDutyCall(Duty.SCALING, stamp, order)
    except msgspec.DecodeError:
        return None
    return None

"""A stand-in of the platform's interface for duties, with its flaws as switches."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

import anyio

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import (
    CONNECT_STEP,
    ConnectionPool,
    PoolLimits,
    Request,
    Responder,
    Response,
)
from balsamcleat.model import FailureKind
from balsamcleat.platform.duties import ReceivedDutyCall, decode_duty_call
from balsamcleat.ports.duties import Duty, DutyStamp, TargetCountOrder, UsageReport

__all__ = ["ArrivedCall", "DutyFlaws", "DutyLink", "DutyPlatform", "broken_rules"]

LEASE_MS = 3000.0
RETRANSMISSION_S = 0.05


@dataclass(slots=True)
class DutyFlaws:
    """What goes wrong; each number counts down with the calls that it hits.

    Attributes:
        down: Calls arrive nowhere, and no connection is opened.
        delay_s: Time between the arrival of a call and its response.
        unavailable: Calls answered with 409.
        throttled: Calls answered with 429.
        failing: Calls answered with 500.
        lose_responses: Calls that take effect and are not answered.
    """

    down: bool = False
    delay_s: float = 0.0
    unavailable: int = 0
    throttled: int = 0
    failing: int = 0
    lose_responses: int = 0


@dataclass(frozen=True, slots=True)
class ArrivedCall:
    """Call that arrived at the platform.

    Attributes:
        at_s: Time of the arrival, on the event loop's clock.
        machine: Machine that sent the call, whatever name the call contains.
        duty: Duty of the call.
        stamp: Holder and fencing token in the call.
        content: Report or order.
        status: Status that it is answered with.
    """

    at_s: float
    machine: str
    duty: Duty
    stamp: DutyStamp
    content: UsageReport | TargetCountOrder
    status: int

    @property
    def subject(self) -> tuple[str, ...]:
        """Scope within which one VM performs the duty at a time."""
        if isinstance(self.content, UsageReport):
            return (self.duty.value,)
        return (self.duty.value, self.content.service, self.content.zone)


@dataclass(slots=True)
class DutyPlatform:
    """Records the calls that arrive and answers them.

    Attributes:
        flaws: What goes wrong.
        calls: Calls that arrived, in order.
        malformed: Requests that are not valid calls.
    """

    flaws: DutyFlaws = field(default_factory=DutyFlaws)
    calls: list[ArrivedCall] = field(default_factory=list)
    malformed: list[Request] = field(default_factory=list)

    def arrive(self, request: Request, machine: str) -> int:
        """Record a call and return the status of its response; 0 if the response is lost."""
        received = decode_duty_call(request)
        if received is None:
            self.malformed.append(request)
            return 400
        status = self.next_status()
        self.calls.append(arrived_call(received, machine, status))
        if self.flaws.lose_responses:
            self.flaws.lose_responses -= 1
            return 0
        return status

    def next_status(self) -> int:
        """Return the status that the next call is answered with."""
        flaws = self.flaws
        if flaws.unavailable:
            flaws.unavailable -= 1
            return 409
        if flaws.throttled:
            flaws.throttled -= 1
            return 429
        if flaws.failing:
            flaws.failing -= 1
            return 500
        return 200

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a call over HTTP; the holder's name stands for its machine."""
        received = decode_duty_call(request)
        machine = received.stamp.holder if received is not None else request.client_address
        status = self.arrive(request, machine)
        await anyio.sleep(self.flaws.delay_s)
        if status:
            await responder.send(Response(status))

    def accepted(self, duty: Duty) -> list[ArrivedCall]:
        """Return the calls of a duty that took effect, in order."""
        return [call for call in self.calls if call.duty is duty and call.status == 200]

    def broken_rules(self) -> list[str]:
        """Return how the calls that arrived break the rules for holders."""
        return broken_rules(self.calls)


class DutyLink(ConnectionPool):
    """One VM's way to the stand-in without a network, in place of its connection pool.

    Args:
        platform: Platform that the link leads to.
        machine: Machine that the link starts from.

    Attributes:
        is_cut: Whether no connection can be opened and no byte arrives.
        connect_s: Time that it takes to open a connection.
        latency_s: Time that a request takes to arrive, and a response to come back.
        on_send: Called when a request is sent.
    """

    def __init__(self, platform: DutyPlatform, machine: str) -> None:
        super().__init__(PoolLimits())
        self.platform = platform
        self.machine = machine
        self.is_cut = False
        self.connect_s = 0.001
        self.latency_s = 0.001
        self.on_send: Callable[[Request], None] = lambda _: None

    async def fetch(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        *,
        force_new_connection: bool = False,
        is_permitted: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send a request and return its response."""
        await anyio.sleep(self.connect_s)
        if not self.is_open():
            raise failure("refused", CONNECT_STEP, perhaps_sent=False)
        if not is_permitted():
            raise failure("not permitted", "stand-in", perhaps_sent=False)
        self.on_send(request)
        try:
            with anyio.fail_after(timeout_s):
                return await self.exchange(request)
        except TimeoutError as error:
            raise failure("no response", "stand-in", perhaps_sent=True) from error

    async def exchange(self, request: Request) -> Response:
        """Carry a request to the platform and its response back."""
        await anyio.sleep(self.latency_s)
        await self.wait_until_open()
        status = self.platform.arrive(request, self.machine)
        await anyio.sleep(self.platform.flaws.delay_s + self.latency_s)
        await self.wait_until_open()
        if not status:
            await anyio.sleep_forever()
        return Response(status)

    def is_open(self) -> bool:
        """Return whether bytes arrive."""
        return not self.is_cut and not self.platform.flaws.down

    async def wait_until_open(self) -> None:
        """Wait until bytes arrive, as they are sent again until then."""
        while True:
            if self.is_open():
                return
            await anyio.sleep(RETRANSMISSION_S)


def arrived_call(received: ReceivedDutyCall, machine: str, status: int) -> ArrivedCall:
    """Return a call that arrives now."""
    return ArrivedCall(
        anyio.current_time(), machine, received.duty, received.stamp, received.content, status
    )


def failure(message: str, step: str, *, perhaps_sent: bool) -> AttemptFailedError:
    """Return the error for a call without a response."""
    kind = FailureKind.SILENT if perhaps_sent else FailureKind.UNREACHED
    return AttemptFailedError(
        message, step=step, peer="duties", perhaps_sent=perhaps_sent, kind=kind
    )


def broken_rules(calls: list[ArrivedCall], lease_ms: float = LEASE_MS) -> list[str]:
    """Return how calls break the rules for the holders of one duty and subject.

    Args:
        calls: Calls in the order of their arrival.
        lease_ms: Time within which holders must not alternate, in milliseconds.
    """
    by_subject: dict[tuple[str, ...], list[ArrivedCall]] = {}
    for call in calls:
        by_subject.setdefault(call.subject, []).append(call)
    broken = []
    for subject, subject_calls in by_subject.items():
        broken += [
            f"{subject}: {rule}"
            for rule in (
                *shared_tokens(subject_calls),
                *falling_tokens(subject_calls),
                *alternations(subject_calls, lease_ms / 1000.0),
            )
        ]
    return broken


def shared_tokens(calls: list[ArrivedCall]) -> list[str]:
    """Return the tokens that calls of several machines contain."""
    machines: dict[int, set[str]] = {}
    for call in calls:
        machines.setdefault(call.stamp.fencing_token, set()).add(call.machine)
    return [
        f"token {token} of {sorted(names)}" for token, names in machines.items() if len(names) > 1
    ]


def falling_tokens(calls: list[ArrivedCall]) -> list[str]:
    """Return where a lower token came after a higher one."""
    return [
        f"token {after.stamp.fencing_token} after {before.stamp.fencing_token} at {after.at_s}"
        for before, after in pairwise(calls)
        if after.stamp.fencing_token < before.stamp.fencing_token
    ]


def alternations(calls: list[ArrivedCall], lease_s: float) -> list[str]:
    """Return where calls of one machine, of another and of the first came within the lease."""
    broken = []
    last_call_s: dict[str, float] = {}
    # Time of each machine's last call before the last call of any other machine.
    before_others_s: dict[str, float] = {}
    for call in calls:
        earlier_s = before_others_s.get(call.machine)
        if earlier_s is not None and call.at_s - earlier_s < lease_s:
            broken.append(f"{call.machine} at {earlier_s} and {call.at_s}, another one between")
        for machine, at_s in last_call_s.items():
            if machine != call.machine:
                before_others_s[machine] = at_s
        last_call_s[call.machine] = call.at_s
    return broken

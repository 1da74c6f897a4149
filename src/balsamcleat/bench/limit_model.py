"""Model in virtual time of many VMs that send to a target with a rate limit."""

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from balsamcleat.decisions.limit_parts import LimitReport, VmDemand
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.model import ServiceName, TargetId

__all__ = [
    "ALLOWED_REQUESTS",
    "LIMIT_POLICIES",
    "LimitFigures",
    "LimitLoad",
    "allowed_requests",
    "count_in_worst_window",
    "play_limit",
]

TARGET = TargetId("target")
SERVICE = ServiceName("service")
# What the operators allow: in each window, so many times what the limit allows, and some requests.
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_REQUESTS = 5
HEARTBEAT_S = 0.4
READ_S = 0.5
JITTER = 0.2
STORE_DELAY_S = 0.01
POLL_S = 0.02
# Requests that a VM keeps waiting; more are rejected.
MAX_WAITING = 50


@dataclass(frozen=True, slots=True)
class LimitLoad:
    """Load on a target.

    Attributes:
        vm_count: Number of VMs.
        limit_per_s: Requests per second that the target accepts.
        rate_per_s: Returns the requests per second that arrive at a VM at a time, from the VM's
            number and the time in seconds.
        duration_s: Duration of the load, in seconds.
        cut_vms: Returns the numbers of the VMs that read no rows at a time, in seconds.
    """

    vm_count: int
    limit_per_s: float
    rate_per_s: Callable[[int, float], float]
    duration_s: float = 30.0
    cut_vms: Callable[[float], range] = lambda now_s: range(0)


@dataclass(frozen=True, slots=True)
class LimitFigures:
    """Use of a limit.

    Attributes:
        sent_at_s: Times at which the target got requests, in seconds.
        load: Load that was played.
    """

    sent_at_s: tuple[float, ...]
    load: LimitLoad

    @property
    def most_in_window(self) -> int:
        """Largest number of requests that the target got in a window."""
        return count_in_worst_window(self.sent_at_s)

    @property
    def allowed_in_window(self) -> float:
        """Number of requests that the operators allow in a window."""
        return allowed_requests(self.load.limit_per_s)

    @property
    def used_share(self) -> float:
        """Share of what the limit allows that was used."""
        return len(self.sent_at_s) / (self.load.limit_per_s * self.load.duration_s)

    @property
    def excess_share(self) -> float:
        """Requests above the limit in the worst window, as a share of what the limit allows."""
        allowed = self.load.limit_per_s * WINDOW_S
        return max(0.0, self.most_in_window / allowed - 1.0)


def count_in_worst_window(times_s: Sequence[float]) -> int:
    """Return the largest number of ascending times within a window."""
    begin, most = 0, 0
    for end, at_s in enumerate(times_s):
        while times_s[begin] <= at_s - WINDOW_S:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def allowed_requests(limit_per_s: float) -> float:
    """Return the number of requests that the operators allow in a window."""
    return ALLOWED_SHARE * limit_per_s * WINDOW_S + ALLOWED_REQUESTS


class LimitPolicy(ABC):
    """What a VM sends to a limited target."""

    @abstractmethod
    def apply_view(self, view: tuple[VmDemand, ...], now_s: float) -> None:
        """Apply the rows of all VMs."""

    @abstractmethod
    def report(self, now_s: float) -> LimitReport:
        """Return what the VM publishes."""

    @abstractmethod
    def record_demand(self, now_s: float, waiting: int) -> None:
        """Record a request, and how many wait."""

    @abstractmethod
    def take(self, now_s: float) -> bool:
        """Return whether a request may be sent now, and count it."""


class SharedPolicy(LimitPolicy):
    """The product's decision: parts by published demand."""

    def __init__(self, vm: str, load: LimitLoad, generator: random.Random) -> None:
        self.limits = TargetLimits(generator)
        self.limits.vm = vm
        self.limits.record_response(TARGET, SERVICE, load.limit_per_s, 0.0)

    def apply_view(self, view: tuple[VmDemand, ...], now_s: float) -> None:
        """Apply the rows of all VMs."""
        self.limits.apply_view(view, lambda _: SERVICE, now_s)

    def report(self, now_s: float) -> LimitReport:
        """Return what the VM publishes."""
        return self.limits.report(now_s)

    def record_demand(self, now_s: float, waiting: int) -> None:
        """Record a request, and how many wait."""
        self.limits.record_demand(SERVICE, now_s, is_live=False)
        self.limits.record_backlogs({SERVICE: waiting})

    def take(self, now_s: float) -> bool:
        """Return whether a request may be sent now, and count it."""
        return self.limits.take(TARGET, now_s)


class EvenPolicy(LimitPolicy):
    """The simplest way: an equal part of the limit for each VM, and one request saved up."""

    def __init__(self, vm: str, load: LimitLoad, generator: random.Random) -> None:
        self.rate_per_s = load.limit_per_s / load.vm_count
        self.allowance = 1.0
        self.at_s = 0.0

    def apply_view(self, view: tuple[VmDemand, ...], now_s: float) -> None:
        """Do nothing."""

    def report(self, now_s: float) -> LimitReport:
        """Return an empty report."""
        return LimitReport()

    def record_demand(self, now_s: float, waiting: int) -> None:
        """Do nothing."""

    def take(self, now_s: float) -> bool:
        """Return whether a request may be sent now, and count it."""
        earned = (now_s - self.at_s) * self.rate_per_s
        self.allowance, self.at_s = min(1.0, self.allowance + earned), now_s
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True


LIMIT_POLICIES = {"shared": SharedPolicy, "even": EvenPolicy}


@dataclass
class ModelVm:
    """One VM of the model."""

    policy: LimitPolicy
    waiting: int = 0
    is_polling: bool = False


@dataclass
class LimitModel:
    """Plays a load with a policy; all times are virtual."""

    load: LimitLoad
    policy_name: str
    generator: random.Random
    vms: list[ModelVm] = field(default_factory=list)
    rows: dict[str, tuple[LimitReport, float]] = field(default_factory=dict)
    sent_at_s: list[float] = field(default_factory=list)
    events: list[tuple[float, int, str, int]] = field(default_factory=list)
    event_count: int = 0

    def schedule(self, at_s: float, kind: str, vm: int) -> None:
        """Schedule an event of a VM."""
        self.event_count += 1
        heapq.heappush(self.events, (at_s, self.event_count, kind, vm))

    def jittered(self, seconds: float) -> float:
        """Return a duration with random jitter, in seconds."""
        return seconds * self.generator.uniform(1.0 - JITTER, 1.0 + JITTER)

    def play(self) -> LimitFigures:
        """Play the load to its end."""
        make_policy = LIMIT_POLICIES[self.policy_name]
        for number in range(self.load.vm_count):
            policy = make_policy(vm_name(number), self.load, self.generator)
            self.vms.append(ModelVm(policy))
            self.rows[vm_name(number)] = (LimitReport(), 0.0)
            for kind, interval_s in (("publish", HEARTBEAT_S), ("read", READ_S), ("arrive", 1.0)):
                self.schedule(self.generator.uniform(0.0, interval_s), kind, number)
        while self.events:
            now_s, _, kind, number = heapq.heappop(self.events)
            if now_s > self.load.duration_s:
                break
            getattr(self, kind)(number, now_s)
        return LimitFigures(tuple(self.sent_at_s), self.load)

    def publish(self, number: int, now_s: float) -> None:
        """Write a VM's row."""
        if number not in self.load.cut_vms(now_s):
            self.rows[vm_name(number)] = (self.vms[number].policy.report(now_s), now_s)
        self.schedule(now_s + self.jittered(HEARTBEAT_S), "publish", number)

    def read(self, number: int, now_s: float) -> None:
        """Read all rows, as they were a moment ago."""
        if number not in self.load.cut_vms(now_s):
            view = tuple(
                VmDemand(vm, report, max(0.0, now_s - at_s))
                for vm, (report, at_s) in self.rows.items()
                if at_s <= now_s - STORE_DELAY_S or not at_s
            )
            self.vms[number].policy.apply_view(view, now_s)
        self.schedule(now_s + self.jittered(READ_S), "read", number)

    def arrive(self, number: int, now_s: float) -> None:
        """Let a request arrive at a VM."""
        rate = self.load.rate_per_s(number, now_s)
        if rate <= 0.0:
            self.schedule(now_s + 0.1, "arrive", number)
            return
        vm = self.vms[number]
        vm.waiting = min(MAX_WAITING, vm.waiting + 1)
        vm.policy.record_demand(now_s, vm.waiting)
        if not vm.is_polling:
            vm.is_polling = True
            self.poll(number, now_s)
        self.schedule(now_s + self.generator.expovariate(rate), "arrive", number)

    def poll(self, number: int, now_s: float) -> None:
        """Send what a VM may send."""
        vm = self.vms[number]
        while vm.waiting and vm.policy.take(now_s):
            vm.waiting -= 1
            self.sent_at_s.append(now_s)
        vm.is_polling = vm.waiting > 0
        if vm.is_polling:
            self.schedule(now_s + POLL_S, "poll", number)


def vm_name(number: int) -> str:
    """Return the name of a VM."""
    return f"vm-{number:04d}"


def play_limit(load: LimitLoad, policy: str, seed: int) -> LimitFigures:
    """Play a load with a policy by its name in ``LIMIT_POLICIES``."""
    return LimitModel(load, policy, random.Random(seed)).play()

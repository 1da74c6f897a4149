"""Decide which engines load new weights now, so that enough others go on serving."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from balsamcleat.model import EngineState, TargetId, WeightVersion, ZoneName

__all__ = [
    "ORDER_TIMEOUT_S",
    "DesiredWeights",
    "ObservedEngine",
    "RolloutEstimate",
    "WaveLimits",
    "WaveScheduler",
    "estimate_rollout",
    "fetch_shares",
]

# Share of the replicas that goes on serving while the others load.
MIN_SERVING_SHARE = 0.5
# An engine that did not come to the version in this time is asked what it has and ordered again.
ORDER_TIMEOUT_S = 30.0
# An engine that still loads nothing so long after an order never began it, or gave it up.
ORDER_START_TIMEOUT_S = 2.0
RETRY_BASE_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0


@dataclass(frozen=True, slots=True)
class DesiredWeights:
    """What the engines of a service should have loaded."""

    version: WeightVersion
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObservedEngine:
    """What was read back from an engine; None where it did not answer."""

    target_id: TargetId
    state: EngineState | None


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """How many engines may load at the same time.

    Attributes:
        fetches: Fetches that the weight store takes from these engines.
        keep_share: Share of the engines that must go on serving.
    """

    max_fetches: int
    min_serving_share: float = MIN_SERVING_SHARE


@dataclass(slots=True)
class OrderRecord:
    """What became of the orders to one engine."""

    ordered_at_s: float = -math.inf
    is_in_flight: bool = False
    failures: int = 0
    retry_at_s: float = 0.0


@dataclass
class WaveScheduler:
    """Orders loads in waves for the engines of one service and scope.

    Attributes:
        honours_fencing: Whether the engines refuse an old holder's orders.
        quiet_until_s: Until then a new holder only reads: engines that ignore fencing numbers
            may still carry out the old holder's last order.
    """

    honours_fencing: bool = True
    no_orders_until_s: float = -math.inf
    orders: dict[TargetId, OrderRecord] = field(default_factory=dict)

    def start_as_holder(self, now_s: float) -> None:
        """Begin as a new holder: nothing that the old one believed is known."""
        self.orders.clear()
        self.no_orders_until_s = -math.inf if self.honours_fencing else now_s + ORDER_TIMEOUT_S

    def next_engines(
        self,
        views: Sequence[ObservedEngine],
        due: DesiredWeights,
        limits: WaveLimits,
        now_s: float,
    ) -> tuple[TargetId, ...]:
        """Return the engines to order now; broken ones first, as they serve nobody anyway."""
        if now_s < self.no_orders_until_s:
            return ()
        known = {view.target_id: view.state for view in views}
        for gone in self.orders.keys() - known.keys():
            del self.orders[gone]
        self.close_finished_orders(known, due, now_s)
        todo = [
            target_id
            for target_id, state in known.items()
            if state is not None
            and not has_desired_weights(state, due)
            and self.can_order(target_id, now_s)
        ]
        todo.sort(key=lambda target_id: (is_serving(known[target_id]), target_id))
        busy = self.fetching_count(known)
        down = sum(not is_serving(state) for state in known.values())
        spare = max(1, math.floor(len(known) * (1.0 - limits.min_serving_share)))
        chosen: list[TargetId] = []
        for target_id in todo:
            if busy + len(chosen) >= limits.max_fetches:
                break
            if is_serving(known[target_id]):
                if down >= spare:
                    break
                down += 1
            chosen.append(target_id)
        for target_id in chosen:
            record = self.orders.setdefault(target_id, OrderRecord())
            record.ordered_at_s, record.is_in_flight = now_s, True
        return tuple(chosen)

    def fetching_count(self, known: Mapping[TargetId, EngineState | None]) -> int:
        """Return how many engines may be fetching, by their word or by our orders."""
        return sum(
            self.orders.get(target_id, OrderRecord()).is_in_flight
            or (state is not None and state.loading is not None)
            for target_id, state in known.items()
        )

    def close_finished_orders(
        self, known: Mapping[TargetId, EngineState | None], due: DesiredWeights, now_s: float
    ) -> None:
        """Close orders that came to their end, as read back."""
        for target_id, record in self.orders.items():
            state = known[target_id]
            if state is not None and has_desired_weights(state, due):
                record.is_in_flight, record.failures = False, 0
            elif record.is_in_flight and self.has_order_failed(record, state, now_s):
                self.record_failure(target_id, now_s)

    def has_order_failed(
        self, record: OrderRecord, state: EngineState | None, now_s: float
    ) -> bool:
        """Return whether an order came to nothing: lost, failed partway or never answered."""
        waited_s = now_s - record.ordered_at_s
        idle = state is not None and state.loading is None
        return waited_s >= ORDER_TIMEOUT_S or (idle and waited_s >= ORDER_START_TIMEOUT_S)

    def can_order(self, target_id: TargetId, now_s: float) -> bool:
        """Return whether the engine has no order under way and is not being left alone."""
        record = self.orders.get(target_id)
        return record is None or (not record.is_in_flight and now_s >= record.retry_at_s)

    def record_failure(self, target_id: TargetId, now_s: float) -> None:
        """Take note that an order was refused or failed; it is given again a little later."""
        record = self.orders.setdefault(target_id, OrderRecord())
        record.is_in_flight = False
        record.failures += 1
        doubled = RETRY_BASE_DELAY_S * 2.0 ** min(record.failures - 1, 10)
        record.retry_at_s = now_s + min(MAX_RETRY_DELAY_S, doubled)


def has_desired_weights(state: EngineState, due: DesiredWeights) -> bool:
    """Return whether the engine has what is due, whole."""
    return (
        state.whole
        and state.loading is None
        and state.weight_version == due.version
        and set(due.adapters) <= set(state.adapters)
    )


def is_serving(state: EngineState | None) -> bool:
    """Return whether the engine's weights are whole and not being loaded."""
    return state is not None and state.whole and state.loading is None


def fetch_shares(limit: int, replicas: Mapping[ZoneName, int]) -> dict[ZoneName, int]:
    """Divide the weight store's limit among zones by their replicas.

    Returns:
        Each zone's share, none below 1; empty when the limit is too small to be divided, so that
        one holder must order for all zones.
    """
    zones = {zone: count for zone, count in replicas.items() if count}
    if not zones or limit < 2 * len(zones):
        return {}
    total = sum(zones.values())
    spread = limit - len(zones)
    return {zone: 1 + spread * count // total for zone, count in zones.items()}


@dataclass(frozen=True, slots=True)
class RolloutEstimate:
    """How long new weights take to be on all replicas.

    Attributes:
        waves: Waves one after the other.
        seconds: From the first order to the last load.
        orders_per_s: Orders that the busiest holder gives in a second.
    """

    waves: int
    seconds: float
    orders_per_s: float


def estimate_rollout(
    replicas: int, holders: int, fetches: int, load_s: float, order_s: float
) -> RolloutEstimate:
    """Return the time for all replicas.

    Args:
        replicas: Replicas in all.
        holders: Order holders, one for each service and zone.
        fetches: Fetches that the weight store takes at once.
        load_s: Time of one fetch and swap, in seconds.
        order_s: Processor time of a holder for one order and its reads, in seconds.
    """
    at_once = max(1, min(fetches, math.floor(replicas * (1.0 - MIN_SERVING_SHARE))))
    waves = math.ceil(replicas / at_once)
    each = math.ceil(at_once / holders)
    wave_s = load_s + each * order_s
    return RolloutEstimate(waves, waves * wave_s, each / wave_s)

"""Schedule weight loads in waves, so that enough other engines keep serving."""

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

# Share of the engines that must keep serving while the others load.
MIN_SERVING_SHARE = 0.5
# An order that takes longer counts as failed; the engine's state is read and the load reordered.
ORDER_TIMEOUT_S = 30.0
# An engine that is not loading this long after an order never started the load, or aborted it.
ORDER_START_TIMEOUT_S = 2.0
RETRY_BASE_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 10.0


@dataclass(frozen=True, slots=True)
class DesiredWeights:
    """Weight version and adapters that the engines of a service should have loaded."""

    version: WeightVersion
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObservedEngine:
    """State that was read from an engine; None if the engine did not answer."""

    target_id: TargetId
    state: EngineState | None


@dataclass(frozen=True, slots=True)
class WaveLimits:
    """Limits on the number of engines that load concurrently.

    Attributes:
        max_fetches: Maximum number of concurrent fetches of these engines from the weight store.
        min_serving_share: Share of the engines that must keep serving.
    """

    max_fetches: int
    min_serving_share: float = MIN_SERVING_SHARE


@dataclass(slots=True)
class OrderRecord:
    """State of the orders to one engine.

    Attributes:
        ordered_at_s: Time of the last order, in seconds.
        is_in_flight: Whether the last order may still be running.
        failures: Number of consecutive failed orders.
        retry_at_s: Time before which no new order is sent, in seconds.
    """

    ordered_at_s: float = -math.inf
    is_in_flight: bool = False
    failures: int = 0
    retry_at_s: float = 0.0


@dataclass
class WaveScheduler:
    """Orders loads in waves for the engines of one service and scope.

    Attributes:
        honours_fencing: Whether the engines reject the orders of a previous lease holder.
        no_orders_until_s: Time until which a new lease holder only reads, because engines that
            ignore fencing tokens may still execute the last order of the previous holder.
        orders: State of the orders, by engine.
    """

    honours_fencing: bool = True
    no_orders_until_s: float = -math.inf
    orders: dict[TargetId, OrderRecord] = field(default_factory=dict)

    def start_as_holder(self, now_s: float) -> None:
        """Start as a new lease holder, which does not know the order state of the previous one."""
        self.orders.clear()
        self.no_orders_until_s = -math.inf if self.honours_fencing else now_s + ORDER_TIMEOUT_S

    def next_engines(
        self,
        views: Sequence[ObservedEngine],
        desired: DesiredWeights,
        limits: WaveLimits,
        now_s: float,
    ) -> tuple[TargetId, ...]:
        """Return the engines to order now, first those that are not serving anyway."""
        if now_s < self.no_orders_until_s:
            return ()
        states = {view.target_id: view.state for view in views}
        for removed_id in self.orders.keys() - states.keys():
            del self.orders[removed_id]
        self.close_finished_orders(states, desired, now_s)
        candidates = [
            target_id
            for target_id, state in states.items()
            if state is not None
            and not has_desired_weights(state, desired)
            and self.can_order(target_id, now_s)
        ]
        candidates.sort(key=lambda target_id: (is_serving(states[target_id]), target_id))
        fetching = self.fetching_count(states)
        not_serving = sum(not is_serving(state) for state in states.values())
        max_not_serving = max(1, math.floor(len(states) * (1.0 - limits.min_serving_share)))
        chosen: list[TargetId] = []
        for target_id in candidates:
            if fetching + len(chosen) >= limits.max_fetches:
                break
            if is_serving(states[target_id]):
                if not_serving >= max_not_serving:
                    break
                not_serving += 1
            chosen.append(target_id)
        for target_id in chosen:
            record = self.orders.setdefault(target_id, OrderRecord())
            record.ordered_at_s, record.is_in_flight = now_s, True
        return tuple(chosen)

    def fetching_count(self, states: Mapping[TargetId, EngineState | None]) -> int:
        """Return how many engines may be fetching, by their reported state or by open orders."""
        return sum(
            self.orders.get(target_id, OrderRecord()).is_in_flight
            or (state is not None and state.loading is not None)
            for target_id, state in states.items()
        )

    def close_finished_orders(
        self, states: Mapping[TargetId, EngineState | None], desired: DesiredWeights, now_s: float
    ) -> None:
        """Close the orders that have succeeded or failed according to the states that were read."""
        for target_id, record in self.orders.items():
            state = states[target_id]
            if state is not None and has_desired_weights(state, desired):
                record.is_in_flight, record.failures = False, 0
            elif record.is_in_flight and self.has_order_failed(record, state, now_s):
                self.record_failure(target_id, now_s)

    def has_order_failed(
        self, record: OrderRecord, state: EngineState | None, now_s: float
    ) -> bool:
        """Return whether an order was lost, failed partway or timed out."""
        waited_s = now_s - record.ordered_at_s
        is_idle = state is not None and state.loading is None
        return waited_s >= ORDER_TIMEOUT_S or (is_idle and waited_s >= ORDER_START_TIMEOUT_S)

    def can_order(self, target_id: TargetId, now_s: float) -> bool:
        """Return whether the engine has no order in flight and its retry delay has passed."""
        record = self.orders.get(target_id)
        return record is None or (not record.is_in_flight and now_s >= record.retry_at_s)

    def record_failure(self, target_id: TargetId, now_s: float) -> None:
        """Record a rejected or failed order; it is retried after an exponential backoff."""
        record = self.orders.setdefault(target_id, OrderRecord())
        record.is_in_flight = False
        record.failures += 1
        delay_s = RETRY_BASE_DELAY_S * 2.0 ** min(record.failures - 1, 10)
        record.retry_at_s = now_s + min(MAX_RETRY_DELAY_S, delay_s)


def has_desired_weights(state: EngineState, desired: DesiredWeights) -> bool:
    """Return whether the engine has completely loaded the desired weights."""
    return (
        state.whole
        and state.loading is None
        and state.weight_version == desired.version
        and set(desired.adapters) <= set(state.adapters)
    )


def is_serving(state: EngineState | None) -> bool:
    """Return whether the engine's weights are completely loaded and not being replaced."""
    return state is not None and state.whole and state.loading is None


def fetch_shares(limit: int, replicas: Mapping[ZoneName, int]) -> dict[ZoneName, int]:
    """Divide the weight store's fetch limit among zones in proportion to their engines.

    Returns:
        Share of each zone, at least 1; empty if the limit is too small to be divided, so that
        one lease holder must send the orders for all zones.
    """
    zones = {zone: count for zone, count in replicas.items() if count}
    if not zones or limit < 2 * len(zones):
        return {}
    total = sum(zones.values())
    divisible = limit - len(zones)
    return {zone: 1 + divisible * count // total for zone, count in zones.items()}


@dataclass(frozen=True, slots=True)
class RolloutEstimate:
    """Estimated duration of loading new weights on all engines.

    Attributes:
        waves: Number of consecutive waves.
        seconds: Time from the first order to the end of the last load, in seconds.
        orders_per_s: Orders per second that the busiest lease holder sends.
    """

    waves: int
    seconds: float
    orders_per_s: float


def estimate_rollout(
    replicas: int, holders: int, fetches: int, load_s: float, order_s: float
) -> RolloutEstimate:
    """Estimate the duration of loading new weights on all engines.

    Args:
        replicas: Total number of engines.
        holders: Number of holders of order leases, one for each service and zone.
        fetches: Maximum number of concurrent fetches from the weight store.
        load_s: Duration of one fetch and weight swap, in seconds.
        order_s: Processor time of a lease holder for one order and its reads, in seconds.
    """
    concurrent_loads = max(1, min(fetches, math.floor(replicas * (1.0 - MIN_SERVING_SHARE))))
    waves = math.ceil(replicas / concurrent_loads)
    orders_per_holder = math.ceil(concurrent_loads / holders)
    wave_s = load_s + orders_per_holder * order_s
    return RolloutEstimate(waves, waves * wave_s, orders_per_holder / wave_s)

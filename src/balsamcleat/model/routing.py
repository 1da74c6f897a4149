"""What a numbered configuration says of routes, services and limits, as an entry VM uses it."""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.model.ids import ConfigurationVersion, ServiceName

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
    "WeightedService",
]


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route goes to, and its weight among the route's services."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        name: Its name, for logs.
        host: The host that callers name.
        prefix: Path prefix; begins and ends with a slash.
        kind: What may be repeated.
        shares: The services that it goes to.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time within which an answer is worth most.
        rank: Importance; 0 is the highest.
        attempts: Most targets that one request may be sent to.
        resumable: Whether a stream may go on at another target.
        sticky: Whether its requests profit from a target that knows their prompt.
        step_deadline_s: Time within which all samples of a step are wanted.
        step_expiry_s: Time after which a sample of a step may be given up.
        single_version: Whether one weight version must make a whole sample.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    rank: int = 5
    attempts: int = 1
    resumable: bool = False
    sticky: bool = False
    step_deadline_s: float = 0.0
    step_expiry_s: float = 0.0
    single_version: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind in (RouteKind.STREAM, RouteKind.ROLLOUT) and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the targets of an engine service have in common.

    Attributes:
        batch_slots: Requests that run at once.
        cache_tokens: Tokens that fit into memory.
        models: Names of the models that it serves.
    """

    batch_slots: int
    cache_tokens: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service.

    Attributes:
        name: Its name.
        max_connections: Connections that one target takes from all callers together.
        engine: Set where its targets are model engines.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path, if any."""
        longest_match: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if longest_match is None or len(route.prefix) > len(longest_match.prefix):
                longest_match = route
        return longest_match

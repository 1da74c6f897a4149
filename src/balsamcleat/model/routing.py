"""Routes, services, teams and limits of a numbered configuration, as entry VMs use them."""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.model.ids import (
    ConfigurationVersion,
    KeyDigest,
    ServiceName,
    TeamName,
    ZoneName,
)
from balsamcleat.model.team_keys import KeyIndex

__all__ = [
    "AutoscaleSpec",
    "CallerLimits",
    "EngineSpec",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
    "TeamSpec",
    "WeightedService",
]


class RouteKind(Enum):
    """Kind of a route, which determines whether its requests may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its weight among the services of that route."""

    service: ServiceName
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests of one host and path prefix to services.

    Attributes:
        name: Name of the route, for logs.
        host: Host name to which callers send their requests.
        prefix: Path prefix, which begins and ends with a slash.
        kind: Kind of the route.
        shares: Services that handle the route's requests, with their weights.
        timeout_s: Maximum time that a caller waits for an answer, in seconds.
        objective_s: Latency objective, in seconds; a later answer is worth less to the caller.
        rank: Priority of the route; 0 is the highest.
        attempts: Maximum number of targets to which one request is sent.
        resumable: Whether another target may resume an interrupted stream.
        sticky: Whether requests benefit from a target that has their prompt in its cache.
        step_deadline_s: Time within which all samples of a step should be complete, in seconds.
        step_expiry_s: Time after acceptance at which the unfinished samples of a step may be
            given up, in seconds; 0 for no expiry.
        single_version: Whether one weight version must generate a complete sample.
        public: Whether requests need no key of a team, if the configuration has teams.
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
    public: bool = False

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """Services that handle the route's requests; those without any weight get none."""
        return tuple(share.service for share in self.shares if share.weight > 0.0)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind in (RouteKind.STREAM, RouteKind.ROLLOUT) and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties shared by the targets of a model engine service.

    Attributes:
        batch_slots: Number of requests that a target runs concurrently.
        cache_tokens: Capacity of a target's KV cache, in tokens.
        models: Names of the models that the service serves.
    """

    batch_slots: int
    cache_tokens: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AutoscaleSpec:
    """Limits and prices of a service whose number of targets is ordered.

    Attributes:
        min_targets: Lowest number of targets in each availability zone.
        max_targets: Highest number of targets of both kinds together in each availability zone.
        startup_s: Time that a new target needs before it serves, in seconds.
        reclaimable_price: Price of a reclaimable target, as a fraction of the zone's price.
        zone_prices: Price of a target's second in each availability zone.
    """

    min_targets: int
    max_targets: int
    startup_s: float
    reclaimable_price: float = 1.0
    zone_prices: dict[ZoneName, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service to which requests are routed.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that a target accepts from all clients
            together.
        engine: Engine properties if the targets are model engines, else None.
        autoscale: Limits and prices if the number of targets is ordered, else None.
    """

    name: ServiceName
    max_connections: int
    engine: EngineSpec | None = None
    autoscale: AutoscaleSpec | None = None


@dataclass(frozen=True, slots=True)
class TeamSpec:
    """A team that sends requests.

    Attributes:
        name: Name of the team.
        key_digests: Digests of the team's keys.
        rank: Priority of the team's requests, which replaces that of their route; 0 is the
            highest, None keeps the route's.
    """

    name: TeamName
    key_digests: frozenset[KeyDigest] = frozenset()
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The routes, services, teams and limits of one configuration version."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    teams: tuple[TeamSpec, ...] = ()
    teams_by_key: KeyIndex[TeamSpec] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        index = KeyIndex((team, team.key_digests) for team in self.teams)
        object.__setattr__(self, "teams_by_key", index)

    @property
    def engine_services(self) -> frozenset[ServiceName]:
        """Services whose targets are model engines."""
        return frozenset(name for name, spec in self.services.items() if spec.engine is not None)

    @property
    def has_teams(self) -> bool:
        """Whether requests need the key of a team, except on public routes."""
        return bool(self.teams)

    def team_of(self, digest: KeyDigest | None) -> TeamSpec | None:
        """Return the team that has the key with a digest, or None if no team has it."""
        return self.teams_by_key.find(digest)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, or None."""
        longest_match: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if longest_match is None or len(route.prefix) > len(longest_match.prefix):
                longest_match = route
        return longest_match

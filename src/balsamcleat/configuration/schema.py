"""Schema of the numbered configuration that operators change with JSON patches."""

from enum import Enum

import msgspec

__all__ = [
    "Configuration",
    "Deployment",
    "Limits",
    "OutagePolicy",
    "Quota",
    "RoleName",
    "RouteDefaults",
    "Service",
    "ServiceKind",
    "Target",
    "Team",
    "Trainer",
    "Zone",
]


class ServiceKind(Enum):
    """Protocol by which the targets of a service are called."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORER = "scorer"


class OutagePolicy(Enum):
    """Handling of a call with an idempotency key while its claim can't be written to the table."""

    REFUSE = "refuse"
    RUN = "run"


class RoleName(Enum):
    """Role that grants a team its permissions."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"
    VIEWER = "viewer"


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of all configuration entries: immutable, and unknown fields are rejected."""


class Zone(Record, frozen=True):
    """An availability zone and the region that contains it."""

    region: str


class Service(Record, frozen=True):
    """A service that callers or rollouts use.

    Attributes:
        kind: Protocol by which its targets are called.
        idempotent: Whether a call may be executed twice unless the caller specifies otherwise; a
            call with an idempotency key is executed at most once in either case.
        honours_fencing: Whether the engines reject orders with an outdated fencing token.
        weight_version: Weight version that the engines should run; 0 orders no loads.
        adapters: Adapters that the engines should have loaded.
        max_concurrency: Maximum number of requests in flight at one target.
        queue_limit: Maximum number of requests queued at one entry VM.
        deadline_s: Default deadline of a call that specifies none, in seconds.
        outage_policy: Handling of calls with an idempotency key while claims can't be written.
        requests_per_s: Maximum rate of live calls at one entry VM; 0 means unlimited.
    """

    kind: ServiceKind
    idempotent: bool = False
    honours_fencing: bool = True
    weight_version: int = 0
    adapters: tuple[str, ...] = ()
    max_concurrency: int = 32
    queue_limit: int = 256
    deadline_s: float = 30.0
    outage_policy: OutagePolicy = OutagePolicy.REFUSE
    requests_per_s: float = 0.0


class Target(Record, frozen=True):
    """One running instance of a service.

    Attributes:
        service: Name of the service that the target runs.
        zone: Name of the target's availability zone.
        address: Host and port of the target's HTTP server.
        draining: Whether an operator has taken the target out of service.
    """

    service: str
    zone: str
    address: str
    draining: bool = False


class Team(Record, frozen=True):
    """Roles, credentials and call quota of a team.

    Attributes:
        roles: Roles of the team's members.
        token_sha256: SHA-256 hex digests of the team's bearer tokens; two during a token rotation.
        services: Names of the services that the team may call; empty allows all.
        requests_per_s: Maximum rate of the team's live calls at one entry VM; 0 means unlimited.
    """

    roles: tuple[RoleName, ...]
    token_sha256: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_s: float = 0.0


class Deployment(Record, frozen=True):
    """A rollout deployment: pairs one trainer with one engine service.

    Attributes:
        service: Name of the engine service that generates samples.
        team: Name of the trainer's team.
        scorer: Name of the service that scores samples, or None.
        staleness_bound: Maximum number of weight versions that a sample may be behind its trainer.
        idle_weight: Weight of trainer idle time against sample staleness, 0 to 1: at 1 only idle
            time counts, at 0 only staleness.
        share: Weight of the deployment when deployments share engines.
    """

    service: str
    team: str
    scorer: str | None = None
    staleness_bound: int = 1
    idle_weight: float = 0.5
    share: float = 1.0


class Trainer(Record, frozen=True):
    """A trainer that opens steps in a deployment.

    Attributes:
        deployment: Name of the deployment in which the trainer opens steps.
        team: Name of the team that the trainer belongs to.
        max_open_steps: Maximum number of steps that the trainer may have open at once.
        max_samples: Maximum number of samples in one step.
    """

    deployment: str
    team: str
    max_open_steps: int = 2
    max_samples: int = 8192


class Quota(Record, frozen=True):
    """System-wide quota of a team; a limit of 0 means unlimited.

    Attributes:
        team: Name of the team that the quota limits.
        service: Name of the service to which the quota applies, or None for all services in total.
        requests_per_s: Maximum live calls per second in the whole system.
        max_in_flight: Maximum number of calls in flight in the whole system.
        tokens_per_s: Maximum generated tokens per second in the whole system.
    """

    team: str
    service: str | None = None
    requests_per_s: float = 0.0
    max_in_flight: int = 0
    tokens_per_s: float = 0.0


class RouteDefaults(Record, frozen=True):
    """Routing defaults, overridden by the settings of a service or of a caller.

    Attributes:
        deadline_s: Default deadline of a call that specifies none, in seconds.
        max_attempts: Maximum number of attempts for a call that may be retried.
        affinity_weight: Weight of a cached prompt prefix against load in target choice, 0 to 1.
    """

    deadline_s: float = 30.0
    max_attempts: int = 3
    affinity_weight: float = 0.5


class Limits(Record, frozen=True):
    """Limits that every entry VM enforces.

    Attributes:
        max_body_bytes: Maximum size of a request body, in bytes.
        max_in_flight: Maximum number of live calls in flight at one entry VM.
        spill_load: Load of the local availability zone, 0 to 1, above which calls are routed to
            other zones.
    """

    max_body_bytes: int = 1_000_000
    max_in_flight: int = 2_000
    spill_load: float = 0.9


class Configuration(Record, frozen=True):
    """Complete configuration; maps are keyed by name so that patches have stable JSON pointers."""

    format: int = 1
    zones: dict[str, Zone] = {}
    services: dict[str, Service] = {}
    targets: dict[str, Target] = {}
    teams: dict[str, Team] = {}
    deployments: dict[str, Deployment] = {}
    trainers: dict[str, Trainer] = {}
    quotas: dict[str, Quota] = {}
    limits: Limits = Limits()
    route_defaults: RouteDefaults = RouteDefaults()

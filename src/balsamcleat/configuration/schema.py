"""The shape of the numbered configuration that operators patch."""

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
    """How a service is called."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORER = "scorer"


class OutagePolicy(Enum):
    """What a call with an idempotency key does while the table can't take its claim."""

    REFUSE = "refuse"
    RUN = "run"


class RoleName(Enum):
    """What a team may do."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"
    VIEWER = "viewer"


class Record(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all records of the configuration: frozen, and strict about unknown fields."""


class Zone(Record, frozen=True):
    """An availability zone."""

    region: str


class Service(Record, frozen=True):
    """A service that callers or rollouts use.

    Attributes:
        kind: How it is called.
        idempotent: Whether calls may run twice unless the caller says otherwise; a call that
            bears an idempotency key runs once in any case.
        honours_fencing: Whether its engines refuse orders with an old fencing number.
        weight_version: The version its engines should run; 0 leaves them alone.
        adapters: Adapters its engines should have loaded.
        max_concurrency: The most requests in flight at one target.
        queue_limit: The most requests waiting at one entry VM.
        deadline_s: Deadline of a call that names none, in seconds.
        outage_policy: What keyed calls do while claims can't be written.
        requests_per_s: Quota of live calls at one entry VM; 0 for none.
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
    """A replica of a service.

    Attributes:
        service: The service it serves.
        zone: Its availability zone.
        address: Host and port of its HTTP face.
        draining: Whether an operator took it out of service.
    """

    service: str
    zone: str
    address: str
    draining: bool = False


class Team(Record, frozen=True):
    """Who may do what.

    Attributes:
        roles: What its members may do.
        token_sha256: Hex digests of its bearer tokens; two during a rotation.
        services: Services it may call; empty for all.
        requests_per_s: Its quota of live calls at one entry VM; 0 for none.
    """

    roles: tuple[RoleName, ...]
    token_sha256: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_s: float = 0.0


class Deployment(Record, frozen=True):
    """A rollout deployment: one trainer on one engine service.

    Attributes:
        service: The engine service that generates.
        team: The trainer's team.
        scorer: The scoring service, or None.
        staleness_bound: The most versions a sample may lag its trainer.
        idle_weight: 1 counts only trainer idle time, 0 only staleness.
        share: Its share of the engines against other deployments.
    """

    service: str
    team: str
    scorer: str | None = None
    staleness_bound: int = 1
    idle_weight: float = 0.5
    share: float = 1.0


class Trainer(Record, frozen=True):
    """A trainer of a deployment.

    Attributes:
        deployment: The deployment whose steps it opens.
        team: The team that it belongs to.
        max_open_steps: The most steps it may have open at once.
        max_samples: The most samples in one step.
    """

    deployment: str
    team: str
    max_open_steps: int = 2
    max_samples: int = 8192


class Quota(Record, frozen=True):
    """What a team may use; 0 stands for no bound.

    Attributes:
        team: Whose quota it is.
        service: The service it bounds, or None for all together.
        requests_per_s: Live calls each second, in the whole system.
        max_in_flight: Calls in flight, in the whole system.
        tokens_per_s: Generated tokens each second, in the whole system.
    """

    team: str
    service: str | None = None
    requests_per_s: float = 0.0
    max_in_flight: int = 0
    tokens_per_s: float = 0.0


class RouteDefaults(Record, frozen=True):
    """What holds for a route unless its service or the caller says otherwise.

    Attributes:
        deadline_s: Deadline of a call that names none, in seconds.
        max_attempts: The most attempts of a call that may be repeated.
        affinity_weight: How much a cached prefix counts against load, 0 to 1.
    """

    deadline_s: float = 30.0
    max_attempts: int = 3
    affinity_weight: float = 0.5


class Limits(Record, frozen=True):
    """Limits that hold on every entry VM.

    Attributes:
        max_body_bytes: The largest request body.
        max_in_flight: The most live calls at one entry VM.
        spill_load: Load of the local zone, 0 to 1, above which calls go to other zones.
    """

    max_body_bytes: int = 1_000_000
    max_in_flight: int = 2_000
    spill_load: float = 0.9


class Configuration(Record, frozen=True):
    """The whole configuration; every map is keyed by name so that patches have stable paths."""

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

"""Decoders of the documents in the platform's store: configuration, weight versions, targets."""

from typing import Annotated

import msgspec

from balsamcleat.decoding import decode_json
from balsamcleat.errors import ProtocolError
from balsamcleat.http1 import is_visible_ascii, parse_address
from balsamcleat.http1.numbers import MAX_NUMBER
from balsamcleat.model import (
    ConfigurationVersion,
    ServiceName,
    TargetId,
    TeamName,
    WeightVersion,
    ZoneName,
)
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import (
    AutoscaleSpec,
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    TeamSpec,
    WeightedService,
)
from balsamcleat.model.team_keys import key_digest

__all__ = [
    "NAMED_VERSION_PREFIX",
    "OPERATOR_TABLE",
    "REPLICA_TABLE",
    "ROUTING_KEY",
    "NamedVersion",
    "decode_named_version",
    "decode_replica",
    "decode_routing",
]

OPERATOR_TABLE = "op"
ROUTING_KEY = "config"
NAMED_VERSION_PREFIX = "version/"
REPLICA_TABLE = "servers"
MS_PER_S = 1000.0

ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "keyed": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.ROLLOUT,
    "batch": RouteKind.ROLLOUT,
}


StoredInteger = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
StoredNumber = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class SplitFields(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests."""

    svc: str
    weight: float = 1.0


class RouteFields(msgspec.Struct, frozen=True, rename="camel"):
    """Route of the configuration document."""

    host: str
    prefix: str
    kind: str = "unsafe"
    name: str = ""
    svc: str | None = None
    split: list[SplitFields] = []
    timeout_ms: float = 10000.0
    # Response time up to which a response has its full value; not a timeout.
    slo_ms: float = 1000.0
    prio: StoredInteger = 5
    attempts: StoredInteger = 1
    resumable: bool = False
    sticky: bool = False
    # Time after the first submission of a step by which all its results should be complete.
    due_ms: float = 0.0
    # Time after the submission of a step at which its samples may be abandoned; despite the name,
    # not a time limit in a queue.
    queue_ttl_s: float = msgspec.field(name="queueTtlS", default=0.0)
    single_version: bool = False
    public: bool = False


class ModelFields(msgspec.Struct, frozen=True):
    """Model that a service serves."""

    name: str


class LoadedModelFields(msgspec.Struct, frozen=True):
    """Model on a target with the version of its weights."""

    name: str
    version: StoredInteger


class EngineFields(msgspec.Struct, frozen=True, rename="camel"):
    """Properties that all targets of an engine service have in common."""

    batch_slots: StoredInteger = 1
    kv_cap_tokens: StoredInteger = 0
    models: list[ModelFields] = []


class AutoscaleFields(msgspec.Struct, frozen=True, rename="camel"):
    """Limits and prices of a service whose number of targets is ordered.

    ``min`` and ``max`` are per availability zone, and a price is that of one target's second.
    """

    max: StoredInteger
    min: StoredInteger = 1
    startup_s: float = msgspec.field(name="startupS", default=4.0)
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class ServiceFields(msgspec.Struct, frozen=True, rename="camel"):
    """Service of the configuration document."""

    name: str
    max_conns: StoredInteger = 100
    engine: EngineFields | None = None
    # Decoded apart from the rest, so that an unknown form does not make the document unreadable.
    autoscale: object = None


class TenantFields(msgspec.Struct, frozen=True, rename="camel"):
    """Team of the configuration document."""

    name: str
    api_keys: list[str] = []
    prio: StoredInteger | None = None


class LimitFields(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on the size and the timing of callers' requests."""

    max_header_bytes: StoredInteger = 16384
    max_body_bytes: StoredInteger = 33554432
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RoutingFields(msgspec.Struct, frozen=True):
    """Configuration document."""

    version: StoredInteger
    routes: list[RouteFields]
    services: list[ServiceFields]
    limits: LimitFields = LimitFields()
    tenants: list[TenantFields] | None = None


class NamedVersionFields(msgspec.Struct, frozen=True):
    """Document in which a trainer announces a weight version."""

    model: str
    version: StoredInteger


class ReplicaFields(msgspec.Struct, frozen=True, rename="camel"):
    """Entry of a target in the target list.

    Another writer may put entries into the list. An entry in which a field is missing that all
    targets write, or has another type or a number that can't be, is one of these.
    """

    svc: str
    address: str
    state: str
    zone: str
    # Version of the target's software, while each of ``models`` has that of its weights.
    version: str
    batch_slots: StoredInteger
    cold_left_ms: StoredNumber
    # Start of the target's process in Unix milliseconds.
    born: StoredInteger
    # Number of writes of the entry, which is not used; in reports and orders, the same name counts
    # the orders that the target has accepted.
    call_seq: StoredInteger
    # Only model engines write it.
    models: list[LoadedModelFields] | msgspec.UnsetType = msgspec.UNSET
    # The last three are decoded apart from the rest, so that an unknown form of them does not
    # remove the target from the list.
    spot: object = None
    draining: object = None
    leaves_ms: object = msgspec.field(name="leaves_ms", default=None)


class NamedVersion(msgspec.Struct, frozen=True):
    """Newest weight version of a model that its trainer has announced."""

    model: str
    version: WeightVersion


def decode_routing(value: bytes) -> RoutingTable:
    """Return the routing table of a configuration document.

    Raises:
        ProtocolError: The document can't be decoded. The message does not quote the document,
            which contains keys.
    """
    try:
        fields = decode_json(value, RoutingFields)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"invalid configuration document: {error}", step="configuration.decode"
        ) from error
    return RoutingTable(
        version=ConfigurationVersion(fields.version),
        routes=tuple(decode_route(route) for route in fields.routes),
        services={ServiceName(s.name): decode_service(s) for s in fields.services},
        limits=CallerLimits(
            max_header_bytes=fields.limits.max_header_bytes,
            max_body_bytes=fields.limits.max_body_bytes,
            header_timeout_s=fields.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=fields.limits.idle_timeout_ms / MS_PER_S,
        ),
        teams=tuple(decode_team(tenant) for tenant in fields.tenants or ()),
    )


def decode_route(fields: RouteFields) -> Route:
    """Return a route; requests of an unknown kind are run at most once."""
    shares = tuple(WeightedService(ServiceName(split.svc), split.weight) for split in fields.split)
    if fields.svc is not None:
        shares = (WeightedService(ServiceName(fields.svc)),)
    return Route(
        name=fields.name,
        host=fields.host.lower(),
        prefix=fields.prefix,
        kind=ROUTE_KINDS.get(fields.kind, RouteKind.AT_MOST_ONCE),
        shares=shares,
        timeout_s=fields.timeout_ms / MS_PER_S,
        objective_s=fields.slo_ms / MS_PER_S,
        rank=fields.prio,
        attempts=max(1, fields.attempts),
        resumable=fields.resumable,
        sticky=fields.sticky,
        step_deadline_s=fields.due_ms / MS_PER_S,
        step_expiry_s=fields.queue_ttl_s,
        single_version=fields.single_version,
        public=fields.public,
    )


def decode_team(fields: TenantFields) -> TeamSpec:
    """Return a team, which keeps only the digests of its keys."""
    return TeamSpec(
        name=TeamName(fields.name),
        key_digests=frozenset(key_digest(key) for key in fields.api_keys),
        rank=fields.prio,
    )


def decode_service(fields: ServiceFields) -> ServiceSpec:
    """Return the specification of a service."""
    engine = fields.engine
    return ServiceSpec(
        name=ServiceName(fields.name),
        max_connections=fields.max_conns,
        engine=None if engine is None else decode_engine(engine),
        autoscale=decode_autoscale(fields.autoscale),
    )


def decode_autoscale(value: object) -> AutoscaleSpec | None:
    """Return the limits and prices of ordered targets, or None if there are none to rely on."""
    if value is None:
        return None
    try:
        fields = msgspec.convert(value, AutoscaleFields)
    except msgspec.ValidationError:
        return None
    if fields.max < 1 or not 0 <= fields.min <= fields.max:
        return None
    return AutoscaleSpec(
        min_targets=fields.min,
        max_targets=fields.max,
        startup_s=max(0.0, fields.startup_s),
        reclaimable_price=max(0.0, fields.spot_price),
        zone_prices={ZoneName(zone): price for zone, price in fields.zone_prices.items()},
    )


def decode_engine(fields: EngineFields) -> EngineSpec:
    """Return the specification that all targets of an engine service have in common."""
    return EngineSpec(
        batch_slots=fields.batch_slots,
        cache_tokens=fields.kv_cap_tokens,
        models=tuple(model.name for model in fields.models),
    )


def decode_named_version(value: bytes) -> NamedVersion:
    """Return the weight version that a trainer announces in a document.

    Raises:
        ProtocolError: The document can't be decoded.
    """
    try:
        fields = decode_json(value, NamedVersionFields)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"invalid weight version document: {error}", step="weights.decode"
        ) from error
    return NamedVersion(fields.model, WeightVersion(fields.version))


def decode_replica(target_id: str, value: bytes, version: int) -> Replica | None:
    """Return a target's entry, or None if it is not in the expected format.

    Other writers may put entries into the same table. The id is sent in a header of each request to
    the target, so one that can't be is no target's.
    """
    if not is_visible_ascii(target_id):
        return None
    try:
        fields = decode_json(value, ReplicaFields)
        state = ReplicaState.DRAINING if fields.draining is True else ReplicaState(fields.state)
        parse_address(fields.address)
    except ValueError:
        return None
    return Replica(
        target_id=TargetId(target_id),
        service=ServiceName(fields.svc),
        address=fields.address,
        zone=ZoneName(fields.zone),
        state=state,
        slots=max(1, fields.batch_slots),
        slow_start_s=fields.cold_left_ms / MS_PER_S,
        started_ms=fields.born,
        versions={model.name: WeightVersion(model.version) for model in fields.models or ()},
        lists_models=fields.models is not msgspec.UNSET,
        software_version=fields.version,
        entry_version=version,
        reclaimable=fields.spot is True,
        leaves_s=decode_leaving_time_s(fields.leaves_ms),
    )


def decode_leaving_time_s(value: object) -> float | None:
    """Return the time until a target is taken away in seconds, or None if none is stated."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        return None
    return max(0.0, value / MS_PER_S)

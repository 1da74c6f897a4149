"""Decode the operator's documents and the targets' entries in the platform's store."""

import msgspec

from balsamcleat.errors import ProtocolError
from balsamcleat.model import ConfigurationVersion, ServiceName, TargetId, WeightVersion, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import (
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)

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


class SplitFields(msgspec.Struct, frozen=True):
    """One of the services that a route is divided among."""

    svc: str
    weight: float = 1.0


class RouteFields(msgspec.Struct, frozen=True, rename="camel"):
    """A route."""

    host: str
    prefix: str
    kind: str = "unsafe"
    name: str = ""
    svc: str | None = None
    split: list[SplitFields] = []
    timeout_ms: float = 10000.0
    # Time within which an answer earns its full worth; not a limit.
    slo_ms: float = 1000.0
    prio: int = 5
    attempts: int = 1
    resumable: bool = False
    sticky: bool = False
    # All results of a step are wanted this long after it was first submitted.
    due_ms: float = 0.0
    # A sample may be given up this long after its step was submitted; not a queue's limit.
    queue_ttl_s: float = msgspec.field(name="queueTtlS", default=0.0)
    single_version: bool = False


class ModelFields(msgspec.Struct, frozen=True):
    """A model that a service or a target serves."""

    name: str
    version: int = 0


class EngineFields(msgspec.Struct, frozen=True, rename="camel"):
    """What the targets of an engine service have in common."""

    batch_slots: int = 1
    kv_cap_tokens: int = 0
    models: list[ModelFields] = []


class ServiceFields(msgspec.Struct, frozen=True, rename="camel"):
    """A service."""

    name: str
    max_conns: int = 100
    engine: EngineFields | None = None


class LimitFields(msgspec.Struct, frozen=True, rename="camel"):
    """What callers may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 33554432
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RoutingFields(msgspec.Struct, frozen=True):
    """The configuration."""

    version: int
    routes: list[RouteFields] = []
    services: list[ServiceFields] = []
    limits: LimitFields = LimitFields()


class NamedVersionFields(msgspec.Struct, frozen=True):
    """A weight version that a trainer named."""

    model: str
    version: int


class ReplicaFields(msgspec.Struct, frozen=True, rename="camel"):
    """A target's entry.

    Its ``callSeq`` is left out: here it counts the entry's own writes, while in a report and in
    an order the same name stands for the orders that the target has accepted.
    """

    svc: str
    address: str
    state: str
    zone: str = ""
    batch_slots: int = 1
    cold_left_ms: float = 0.0
    # Unix millisecond of the start.
    born: int = 0
    models: list[ModelFields] = []


class NamedVersion(msgspec.Struct, frozen=True):
    """The newest weight version of a model that its trainer named."""

    model: str
    version: WeightVersion


def decode_routing(value: bytes) -> RoutingTable:
    """Return the configuration.

    Raises:
        ProtocolError: It can't be read.
    """
    try:
        fields = msgspec.json.decode(value, type=RoutingFields)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"no configuration: {error}", step="configuration.decode") from error
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
    )


def decode_route(fields: RouteFields) -> Route:
    """Return a route; an unknown kind is treated as one that may run once only."""
    shares = tuple(WeightedService(ServiceName(part.svc), part.weight) for part in fields.split)
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
    )


def decode_service(fields: ServiceFields) -> ServiceSpec:
    """Return a service."""
    engine = fields.engine
    return ServiceSpec(
        name=ServiceName(fields.name),
        max_connections=fields.max_conns,
        engine=None if engine is None else decode_engine(engine),
    )


def decode_engine(fields: EngineFields) -> EngineSpec:
    """Return what the targets of an engine service have in common."""
    return EngineSpec(
        batch_slots=fields.batch_slots,
        cache_tokens=fields.kv_cap_tokens,
        models=tuple(model.name for model in fields.models),
    )


def decode_named_version(value: bytes) -> NamedVersion:
    """Return a weight version that a trainer named.

    Raises:
        ProtocolError: It can't be read.
    """
    try:
        fields = msgspec.json.decode(value, type=NamedVersionFields)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"no weight version: {error}", step="weights.decode") from error
    return NamedVersion(fields.model, WeightVersion(fields.version))


def decode_replica(target_id: str, value: bytes, version: int) -> Replica | None:
    """Return a target's entry, or None where it comes from another writer or can't be read."""
    try:
        fields = msgspec.json.decode(value, type=ReplicaFields)
        state = ReplicaState(fields.state)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None
    host, _, port = fields.address.rpartition(":")
    if not host or not port.isdecimal():
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
        versions={model.name: WeightVersion(model.version) for model in fields.models},
        entry_version=version,
    )

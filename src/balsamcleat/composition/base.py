"""Builds what all parts of a node share: clients, clock, platform and connections to targets."""

from dataclasses import dataclass

import httpx

from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.http_platform import (
    HttpObjectStore,
    HttpTable,
    PlatformHttp,
)
from balsamcleat.adapters.http_service import HttpPlainService, HttpScorer
from balsamcleat.adapters.socket_peers import split_address
from balsamcleat.adapters.statsd_metrics import MemoryMetrics, StatsdMetrics
from balsamcleat.adapters.system import SystemClock
from balsamcleat.composition.node import PlatformParts
from balsamcleat.decisions.retry import RetryBudget
from balsamcleat.model import VmId, ZoneName
from balsamcleat.ports import Clock, Metrics, Randomness
from balsamcleat.settings import Settings
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.platform_client import PlatformObjects, PlatformTable
from balsamcleat.tasks.resilience_pipeline import ResiliencePipeline

__all__ = ["NodeFoundation", "compose_foundation"]


@dataclass(frozen=True, slots=True)
class NodeFoundation:
    """Objects that all parts of a node share.

    Attributes:
        settings: Settings of the node.
        vm_id: Id of this VM.
        zone: Availability zone of this VM.
        clock: Source of time and of delays.
        randomness: Source of random generators and ids.
        metrics: Receiver of counters.
        client: HTTP client.
        unpooled_client: HTTP client that reuses no connections, for calls of plain services.
        budget: Retry budget that all layers share.
        platform: Clients of the platform's table and object store, and the audit trail.
        connections: Connections to targets.
    """

    settings: Settings
    vm_id: VmId
    zone: ZoneName
    clock: Clock
    randomness: Randomness
    metrics: MemoryMetrics
    client: httpx.AsyncClient
    unpooled_client: httpx.AsyncClient
    budget: RetryBudget
    platform: PlatformParts
    connections: Connections


def compose_foundation(settings: Settings, randomness: Randomness) -> NodeFoundation:
    """Build the objects that all parts share, including the adapters of targets."""
    clock = SystemClock()
    metrics = make_metrics(settings)
    client, unpooled_client = new_client(), new_client(reuse=False)
    budget = RetryBudget()
    return NodeFoundation(
        settings=settings,
        vm_id=VmId(settings.vm_id),
        zone=ZoneName(settings.availability_zone),
        clock=clock,
        randomness=randomness,
        metrics=metrics,
        client=client,
        unpooled_client=unpooled_client,
        budget=budget,
        platform=compose_platform(settings, client, clock, randomness, budget, metrics),
        connections=Connections(
            lambda address: HttpEngine(client, address, metrics),
            lambda address: HttpPlainService(unpooled_client, address),
            lambda address: HttpScorer(unpooled_client, address),
        ),
    )


def compose_platform(
    settings: Settings,
    client: httpx.AsyncClient,
    clock: Clock,
    randomness: Randomness,
    budget: RetryBudget,
    metrics: Metrics,
) -> PlatformParts:
    """Build the clients of the platform's table and object store, and the audit trail."""

    def make_pipeline(name: str) -> ResiliencePipeline:
        return ResiliencePipeline(name, clock, budget, randomness.generator(name), metrics)

    urls = settings.platform
    table = PlatformTable(
        HttpTable(PlatformHttp(client, urls.table_url)),
        make_pipeline("table"),
        clock,
        randomness,
        metrics,
    )
    objects = PlatformObjects(
        HttpObjectStore(PlatformHttp(client, urls.objects_url)), make_pipeline("objects")
    )
    return PlatformParts(table, objects, AuditTrail(table, clock, randomness, metrics))


def make_metrics(settings: Settings) -> MemoryMetrics:
    """Return the metrics that the settings select."""
    if settings.statsd_address is None:
        return MemoryMetrics()
    return StatsdMetrics(*split_address(settings.statsd_address))

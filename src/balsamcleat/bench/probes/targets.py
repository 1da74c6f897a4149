"""Probes of what a node spends on targets: knowing them, choosing among them, asking them."""

import random

import anyio

from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.bench.probes.base import CpuMeter, MemoryMeter, Probe, Quantity
from balsamcleat.bench.probes.other_thread import serving_elsewhere
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.model import (
    AttemptOutcome,
    LoadReport,
    ServiceName,
    TargetId,
    TargetInfo,
    ZoneName,
)
from balsamcleat.standins.engine import EngineStandIn
from balsamcleat.tasks.target_messages import encode_messages, load_message

__all__ = ["ChoiceProbe", "LoadNewsProbe", "PollProbe", "TargetKnownProbe"]

SERVICE = ServiceName("engines")
ZONE = ZoneName("zone-a")
CHOICES = 5_000
TICKS = 100
REPORT = LoadReport(running=12, waiting=1, capacity=32, cache_used=0.5, measured_at_s=0.0)


def targets(count: int) -> tuple[TargetInfo, ...]:
    """Return engines of one zone."""
    return tuple(
        TargetInfo(TargetId(f"engines-{number:05d}"), SERVICE, ZONE, f"10.0.0.1:{number}")
        for number in range(count)
    )


def router_with(count: int) -> Router:
    """Return a router that has heard of every target."""
    router = Router(ZONE, random.Random(1))
    router.configure(targets(count))
    router.tick(1.0)
    for target in targets(count):
        router.record_load_report(target.target_id, REPORT)
    return router


class TargetKnownProbe(Probe):
    """What a router holds and does in a second, by the targets of its zone."""

    name = "target known"
    unit = "target"
    per = "node second"
    sizes = (100, 370, 1_000, 3_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Build a router, then tick it as often as a second has ticks."""
        with MemoryMeter() as memory:
            router = router_with(size)
        with CpuMeter() as cpu:
            for number in range(TICKS):
                router.tick(2.0 + number / 10)
        return {Quantity.MEMORY: memory.bytes, Quantity.CPU: cpu.seconds / (TICKS / 10)}


class ChoiceProbe(Probe):
    """What choices cost, by their number, in a zone of 370 targets."""

    name = "routing choice"
    unit = "choice"
    per = "whole run"
    sizes = (1_000, 5_000, 20_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Choose, start and finish."""
        router = router_with(370)
        draw = random.Random(2)
        prefixes = [tuple(draw.getrandbits(64) for _ in range(4)) for _ in range(500)]
        with CpuMeter() as cpu:
            for number in range(size):
                query = RouteQuery(SERVICE, prefix_digests=prefixes[number % len(prefixes)])
                target = router.choose(query)
                if target is not None:
                    router.record_start(target.target_id)
                    router.record_end(target.target_id, AttemptOutcome.SUCCEEDED)
        return {Quantity.CPU: cpu.seconds}


class PollProbe(Probe):
    """What asking engines for their load costs, by the number of questions."""

    name = "engine asked"
    unit = "question"
    per = "whole run"
    sizes = (100, 300, 900)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Ask an engine that runs in another thread."""
        with serving_elsewhere(EngineStandIn("engines").app()) as address:
            return anyio.run(self.ask, address, size)

    async def ask(self, address: str, size: int) -> dict[Quantity, float]:
        """Ask one after the other."""
        async with new_client() as client:
            engine = HttpEngine(client, address)
            await engine.load_report()
            with CpuMeter(this_thread=True) as cpu:
                for _ in range(size):
                    await engine.load_report()
        return {Quantity.CPU: cpu.seconds}


class LoadNewsProbe(Probe):
    """How long news of loads is, by the number of reports in it."""

    name = "load report told"
    unit = "report"
    per = "notice"
    sizes = (1, 6, 12, 24)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Encode news."""
        news = [load_message(target.target_id, REPORT) for target in targets(size)]
        return {Quantity.SENT: float(len(encode_messages(news)))}

"""The demonstration's operator: patches that take effect, patches that are refused, drains."""

import uuid
from dataclasses import dataclass

import anyio
import httpx
import msgspec

from balsamcleat.demo.pace import Pace
from balsamcleat.demo.report import DemoReport, Promise
from balsamcleat.demo.watch import ConfigurationWatch
from balsamcleat.standins.cluster import LocalCluster

__all__ = ["Operator"]

SMALL_BODY_BYTES = 2_000
LIST_LAG_S = 1.0


@dataclass
class Operator:
    """Works through the HTTP face of the nodes.

    Attributes:
        cluster: The system.
        report: Where checks are counted.
        client: The HTTP client.
        watch: Sees what is in force.
        pace: How long to wait.
    """

    cluster: LocalCluster
    report: DemoReport
    client: httpx.AsyncClient
    watch: ConfigurationWatch
    pace: Pace

    async def patch(
        self, base: int, path: str, value: object, node: int = 0, *, force: bool = False
    ) -> httpx.Response:
        """Submit a patch of one operation against version ``base``."""
        operation = {"op": "add", "path": path, "value": value}
        return await self.client.patch(
            f"{self.cluster.node_url(node)}/v1/configuration",
            content=msgspec.json.encode([operation]),
            headers={
                "content-type": "application/json-patch+json",
                "if-match": f'"{base}"',
                "x-author": "demo operator",
                "x-reason": "shown in the demonstration",
                "x-operation-id": uuid.uuid4().hex,
                "x-force": "true" if force else "false",
            },
        )

    def version(self) -> int:
        """Return the highest version in force at any node."""
        return max(running.node.keeper.current.version for running in self.cluster.nodes.values())

    async def accept(self, path: str, value: object, *, force: bool = False) -> None:
        """Submit a patch that must become the next number."""
        base = self.version()
        response = await self.patch(base, path, value, force=force)
        kept = response.status_code == 200 and response.headers["etag"] == f'"{base + 1}"'
        self.report.check(Promise.NUMBERED, kept, f"{path}: answered {response.status_code}")
        self.report.say(f"operator: {path} = {value}, accepted as configuration {base + 1}")
        await self.watch.in_force(base + 1)

    async def refuse(self, base: int, path: str, value: object, status: int) -> None:
        """Submit a patch that must be refused."""
        before = self.version()
        response = await self.patch(base, path, value)
        kept = response.status_code == status and self.version() == before
        self.report.check(Promise.NUMBERED, kept, f"{path}: answered {response.status_code}")
        self.report.say(f"operator: {path} = {value}, refused with {response.status_code}")

    async def lower_body_limit(self) -> None:
        """Show that a patch changes what every node does."""
        before = [await self.large_call(node) for node in range(len(self.cluster.nodes))]
        await self.refuse(self.version(), "/limits/max_body_bytes", SMALL_BODY_BYTES, 409)
        self.report.say("that is dangerous, as callers may notice; the operator insists")
        await self.accept("/limits/max_body_bytes", SMALL_BODY_BYTES, force=True)
        after = [await self.large_call(node) for node in range(len(self.cluster.nodes))]
        for status_before, status_after in zip(before, after, strict=True):
            kept = (status_before, status_after) == (200, 413)
            self.report.check(Promise.IN_FORCE, kept, f"answered {status_before}, {status_after}")
        self.report.say(f"a call of 3000 bytes: before {before}, after {after}")

    async def large_call(self, node: int) -> int:
        """Make a call above the lowered limit and return the status."""
        url = f"{self.cluster.node_url(node)}/v1/services/{self.cluster.shape.plain_service}/push"
        body = uuid.uuid4().hex.ljust(SMALL_BODY_BYTES + 1000, ".")
        return (await self.client.post(url, content=body)).status_code

    async def race(self) -> None:
        """Let two operators submit different patches against the same number."""
        base = self.version()
        statuses: list[int] = []

        async def submit(node: int) -> None:
            path = f"/services/{self.cluster.shape.plain_service}/deadline_s"
            statuses.append((await self.patch(base, path, 20.0 + node, node)).status_code)

        async with anyio.create_task_group() as group:
            for node in range(2):
                group.start_soon(submit, node)
        kept = sorted(statuses) == [200, 412]
        self.report.check(Promise.NUMBERED, kept, f"a race: answered {statuses}")
        self.report.say(f"two operators raced for {base + 1}: answered {statuses}")
        await self.watch.in_force(base + 1)

    async def drain_target(self) -> None:
        """Take an engine out by a patch; it must get no new work after some seconds."""
        name, engine = list(self.cluster.engines.items())[-1]
        await self.accept(f"/targets/{name}/draining", True)
        await anyio.sleep(self.pace.silence_after_s)
        before = engine.generations
        await anyio.sleep(self.pace.silence_s)
        new = engine.generations - before
        self.report.check(Promise.LEAVING, new == 0, f"{name} got {new} new requests")
        self.report.say(f"{name} is out of service and gets no new work")

    async def leaving_target(self) -> None:
        """Let the platform call a plain target leaving, with its list lagging by a second."""
        name, service = list(self.cluster.services.items())[-1]
        self.cluster.platform.flaws.vm_list_lag_s = LIST_LAG_S
        self.cluster.platform.leave_vm(name)
        self.report.say(f"the platform calls {name} leaving; its list lags by {LIST_LAG_S} s")
        await anyio.sleep(LIST_LAG_S + self.pace.silence_after_s)
        before = service.runs.total()
        await anyio.sleep(self.pace.silence_s)
        new = service.runs.total() - before
        self.report.check(Promise.LEAVING, new == 0, f"{name} got {new} new calls")

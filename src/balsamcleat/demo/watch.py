"""The demonstration's watch over configurations: in force in seconds, never reverting."""

from dataclasses import dataclass, field

import anyio

from balsamcleat.demo.report import DemoReport, Promise
from balsamcleat.standins.cluster import LocalCluster

__all__ = ["ConfigurationWatch"]

LOOK_INTERVAL_S = 0.1
IN_FORCE_WITHIN_S = 5.0


@dataclass
class ConfigurationWatch:
    """Looks at every node's configuration.

    Attributes:
        cluster: The system.
        report: Where checks are counted.
        highest: The highest version seen at each node.
    """

    cluster: LocalCluster
    report: DemoReport
    highest: dict[str, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await anyio.sleep(LOOK_INTERVAL_S)

    def look(self) -> None:
        """Look once at every running node."""
        for vm_id, running in self.cluster.nodes.items():
            version = running.node.keeper.current.version
            before = self.highest.get(vm_id, 0)
            case = f"{vm_id} went from {before} to {version}"
            self.report.check(Promise.NEVER_REVERTS, version >= before, case)
            self.highest[vm_id] = version

    async def in_force(self, version: int) -> None:
        """Wait until the version is in force everywhere, and check that it took seconds only."""
        started_s = anyio.current_time()
        with anyio.move_on_after(IN_FORCE_WITHIN_S):
            await self.cluster.wait_configured(version)
        took_s = anyio.current_time() - started_s
        for vm_id, running in self.cluster.nodes.items():
            at = running.node.keeper.current.version
            self.report.check(Promise.IN_FORCE, at >= version, f"{vm_id} is at {at}")
        self.report.say(f"configuration {version} is in force everywhere after {took_s:.2f} s")

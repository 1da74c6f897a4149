"""A simulation in virtual time: calls of many teams, one of which may flood some or all VMs."""

import random
import statistics
from dataclasses import dataclass

import anyio

import burst_world as b
import step_world as w

LARGE_TEAMS = 4
SMALL_TEAMS = 36
# Part of all calls that the large teams send together.
LARGE_PART = 0.6
FLOOD_FACTOR = 100.0


def team_parts() -> dict[str, float]:
    """Return each team's part of all calls."""
    large = {f"large{n}": LARGE_PART / LARGE_TEAMS for n in range(LARGE_TEAMS)}
    small = {f"small{n}": (1.0 - LARGE_PART) / SMALL_TEAMS for n in range(SMALL_TEAMS)}
    return {**large, **small}


def rank_of(team: str) -> int:
    """Return the rank of a team: every third one has a lower rank."""
    return int(int(team[5:]) % 3 == 1)


@dataclass(frozen=True)
class Flood:
    """A team that sends many times its mean rate, through some VMs only if ``vms`` is set."""

    team: str
    begins_s: float = 3.0
    ends_s: float = 6.0
    vms: int | None = None


class FloodWorld(b.BurstWorld):
    """Callers of teams at a steady rate, and those of a flood beside them."""

    async def run_teams(self, load: float, flood: Flood | None, seconds: float) -> None:
        async with anyio.create_task_group() as tasks:
            for forwarder in self.forwarders:
                tasks.start_soon(forwarder.queues.run)
            self.started_at_s = anyio.current_time()
            async with anyio.create_task_group() as callers:
                for team, part in team_parts().items():
                    rate_per_s = self.capacity_per_s * load * part
                    callers.start_soon(self.run_team, callers, team, rate_per_s, 0.0, seconds)
                    if flood is not None and flood.team == team:
                        vms = self.forwarders[: flood.vms]
                        callers.start_soon(
                            self.run_team,
                            callers,
                            team,
                            rate_per_s * FLOOD_FACTOR,
                            flood.begins_s,
                            flood.ends_s,
                            vms,
                        )
            tasks.cancel_scope.cancel()

    async def run_team(self, callers, team, rate_per_s, begins_s, ends_s, vms=None) -> None:
        """Start a team's callers at a steady mean rate."""
        arrivals = random.Random(f"{self.seed}/{team}/{begins_s}")
        await anyio.sleep(begins_s)
        while anyio.current_time() - self.started_at_s < ends_s:
            await anyio.sleep(arrivals.expovariate(rate_per_s))
            callers.start_soon(self.run_caller, rank_of(team), team, vms)


def simulate(load: float, flood: Flood | None, seconds: float = 7.0, **options) -> FloodWorld:
    async def simulation() -> FloodWorld:
        world = FloodWorld(**options)
        await world.run_teams(load, flood, seconds)
        return world

    return w.run_in_virtual_time(simulation)


def outcomes_during(world: FloodWorld, flood: Flood, teams) -> list[b.Outcome]:
    return [
        outcome
        for outcome in world.outcomes
        if outcome.team in teams and flood.begins_s <= outcome.started_after_s < flood.ends_s
    ]


def mean_latency_s(outcomes: list[b.Outcome]) -> float:
    return statistics.fmean(outcome.took_s for outcome in outcomes)


def quantile_s(outcomes: list[b.Outcome], share: float) -> float:
    return sorted(outcome.took_s for outcome in outcomes)[int(share * len(outcomes))]

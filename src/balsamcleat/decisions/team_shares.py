"""Loads of the teams whose calls share a service's slots, and which teams exceed their share.

Load pattern: one team sends a hundred times its usual calls, through one VM or through all. Its
calls fill every slot that becomes free, and the calls of other teams wait behind them, also at VMs
that the flood does not reach. Here a team that exceeds its share leaves some slots free, so that
the other teams' calls find one at once.

VMs don't coordinate: each knows the calls that it receives, and the use of the slots from the
targets' responses. A flood at another VM leaves little room here without any team of this VM
sending more than usual, which is why a team's share is never less than its usual calls.
"""

import math
from dataclasses import dataclass, field

__all__ = ["TeamLoad", "TeamShares"]

# Time within which arrivals are counted, in seconds. It is long enough to tell a flood that is
# spread over many VMs from the few calls that a small team usually sends through each of them.
LOAD_MEMORY_S = 1.0
# A second count tells a flood of a large team, whose calls of a second fill all slots, within a
# fraction of a service time.
SHORT_MEMORY_S = 0.1
# Time over which a team's usual calls are averaged, in seconds.
USUAL_MEMORY_S = 10.0
# A VM that starts while there is too little room learns the usual calls in this time, in seconds.
LEARNING_TIME_S = 2.0
# The usual calls are averaged at this interval, in seconds.
UPDATE_INTERVAL_S = 0.05
# A team sends unusually many calls above 2 * mean + 2 * sqrt(mean) + 3: its demand varies, the
# arrivals are random, and a few calls of a team that sends hardly any are no flood.
USUAL_VARIATION = 2.0
USUAL_VARIATION_CALLS = 3.0
USUAL_DEVIATIONS = 2.0
# Share of the slots that teams above their share leave free for the others, whose calls would
# otherwise wait at the targets: VMs that see old loads send calls to targets that are full.
RESERVED_SHARE = 1.0 / 3.0
# Teams whose counts have decayed below this are removed.
MIN_CALLS = 1e-3


@dataclass(slots=True)
class TeamLoad:
    """Calls that a team sends to this VM.

    Attributes:
        recent_calls: Arrivals, each with a weight that decays with age.
        latest_calls: The same with the short memory.
        counted_at_s: Time to which the counts have decayed.
        usual_calls: Mean of ``recent_calls``.
    """

    recent_calls: float = 0.0
    latest_calls: float = 0.0
    counted_at_s: float = float("-inf")
    usual_calls: float = 0.0

    def decay(self, now_s: float) -> None:
        """Let the weight of earlier arrivals decay."""
        if self.recent_calls:
            age_s = now_s - self.counted_at_s
            self.recent_calls *= math.exp(-age_s / LOAD_MEMORY_S)
            self.latest_calls *= math.exp(-age_s / SHORT_MEMORY_S)
        self.counted_at_s = now_s

    def add_call(self, now_s: float) -> None:
        """Count a call."""
        self.decay(now_s)
        self.recent_calls += 1.0
        self.latest_calls += 1.0

    def is_unusual(self, growth: float) -> bool:
        """Return whether the team sends many more calls than usual.

        ``growth`` is the factor by which the calls of the other teams have grown.
        """
        usual_calls = self.usual_calls * growth
        return self.recent_calls > largest_usual(usual_calls) or (
            self.latest_calls > largest_usual(usual_calls * SHORT_MEMORY_S / LOAD_MEMORY_S)
        )


def largest_usual(mean_calls: float) -> float:
    """Return the largest number of calls that is usual for a mean; arrivals are random."""
    deviation = USUAL_DEVIATIONS * math.sqrt(mean_calls)
    return USUAL_VARIATION * mean_calls + deviation + USUAL_VARIATION_CALLS


@dataclass(slots=True)
class TeamShares:
    """Loads of the teams at this VM; times are on the process's clock.

    Attributes:
        loads: Load of each team that has one.
        total: Load of all teams together.
        first_at_s: Time of the first update.
        updated_at_s: Time of the last update of the usual calls.
    """

    loads: dict[str, TeamLoad] = field(default_factory=dict)
    total: TeamLoad = field(default_factory=TeamLoad)
    first_at_s: float | None = None
    updated_at_s: float = float("-inf")

    @property
    def has_several_teams(self) -> bool:
        """Whether calls of more than one team arrived lately."""
        return len(self.loads) > 1

    def record_arrival(self, team: str, now_s: float) -> None:
        """Record a call of a team."""
        load = self.loads.get(team)
        if load is None:
            load = self.loads[team] = TeamLoad()
        load.add_call(now_s)
        self.total.add_call(now_s)

    def decay(self, now_s: float) -> None:
        """Let the counts of all teams decay to the same time, so that they can be compared."""
        if self.has_several_teams:
            self.total.decay(now_s)
            for load in self.loads.values():
                load.decay(now_s)

    def exceeds_share(self, team: str) -> bool:
        """Return whether a team sends more than an equal part, and many more calls than usual."""
        load = self.loads.get(team)
        if load is None or not self.has_several_teams:
            return False
        equal_part = self.total.recent_calls / len(self.loads)
        return load.recent_calls > equal_part and load.is_unusual(self.growth_of_others(load))

    def growth_of_others(self, load: TeamLoad) -> float:
        """Return the factor by which the calls of all other teams have grown; at least 1.

        A burst of all teams must not count as a flood by the largest of them.
        """
        recent_calls = self.total.recent_calls - load.recent_calls
        usual_calls = self.total.usual_calls - load.usual_calls
        return max(1.0, recent_calls / (usual_calls + 1.0))

    @property
    def has_surplus(self) -> bool:
        """Whether any team exceeds its share."""
        return any(map(self.exceeds_share, self.loads))

    def update(self, now_s: float, *, has_room: bool) -> None:
        """Average the calls of each team.

        Args:
            now_s: Time on the process's clock.
            has_room: Whether all calls find room. While they don't, unusually many calls are not
                averaged, since a lasting flood would become usual.
        """
        if now_s - self.updated_at_s < UPDATE_INTERVAL_S:
            return
        if self.first_at_s is None:
            self.first_at_s = now_s
        observed_s = min(USUAL_MEMORY_S, now_s - self.first_at_s + UPDATE_INTERVAL_S)
        weight = min(1.0, max(UPDATE_INTERVAL_S, now_s - self.updated_at_s) / observed_s)
        self.updated_at_s = now_s
        self.total.decay(now_s)
        is_learning = now_s - self.first_at_s < LEARNING_TIME_S
        for team, load in list(self.loads.items()):
            load.decay(now_s)
            if has_room or is_learning or not load.is_unusual(self.growth_of_others(load)):
                load.usual_calls += (load.recent_calls - load.usual_calls) * weight
            if max(load.usual_calls, load.recent_calls) < MIN_CALLS:
                del self.loads[team]
        self.total.usual_calls = sum(load.usual_calls for load in self.loads.values())

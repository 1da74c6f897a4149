"""What nodes pass on to each other: news of members, and summaries of whole zones."""

import math
from dataclasses import dataclass

from balsamcleat.model import Member, VmId, ZoneName
from balsamcleat.model.peer import ZoneSummary

__all__ = ["GossipQueue", "ZoneView"]

# Each piece of news is passed on this often, times the logarithm of the group.
RETRANSMIT_FACTOR = 4
# Summaries older than this say nothing about the zone any more.
MAX_SUMMARY_AGE_S = 30.0
# Summaries in one datagram; the own zone's always, the youngest others after it.
MAX_SUMMARIES_PER_DATAGRAM = 6


class GossipQueue:
    """News waiting to be passed on; the least repeated goes first."""

    def __init__(self) -> None:
        self.send_counts: dict[VmId, int] = {}
        self.members: dict[VmId, Member] = {}

    def add(self, member: Member) -> None:
        """Queue news; it replaces older news of the same member."""
        self.members[member.vm_id] = member
        self.send_counts[member.vm_id] = 0

    def next_updates(self, count: int, group: int) -> list[Member]:
        """Return up to ``count`` pieces of news for one datagram.

        Args:
            count: The most pieces.
            group: Number of members that must hear of it.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(group + 2))
        chosen = sorted(self.send_counts, key=lambda vm_id: (self.send_counts[vm_id], vm_id))[
            :count
        ]
        taken = [self.members[vm_id] for vm_id in chosen]
        for vm_id in chosen:
            self.send_counts[vm_id] += 1
            if self.send_counts[vm_id] >= limit:
                del self.send_counts[vm_id], self.members[vm_id]
        return taken


@dataclass(frozen=True, slots=True)
class TimedSummary:
    """A summary with the moment, on our own clock, at which its zone made it."""

    summary: ZoneSummary
    made_at_s: float


class ZoneView:
    """The youngest summary of each zone.

    Args:
        zone: The own availability zone.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone
        self.summary_by_zone: dict[ZoneName, TimedSummary] = {}
        self.now_s = 0.0

    def set_own_summary(self, alive: int, payload: bytes, now_s: float) -> None:
        """Set what this node says of its own zone."""
        self.now_s = now_s
        self.summary_by_zone[self.zone] = TimedSummary(
            ZoneSummary(self.zone, 0, alive, payload), now_s
        )

    def merge(self, summaries: tuple[ZoneSummary, ...], now_s: float) -> None:
        """Keep summaries that are younger than what is held; the own zone is known better."""
        self.now_s = max(self.now_s, now_s)
        for summary in summaries:
            made_at_s = now_s - summary.age_ms / 1000
            held = self.summary_by_zone.get(summary.zone)
            if summary.zone != self.zone and (held is None or made_at_s > held.made_at_s):
                self.summary_by_zone[summary.zone] = TimedSummary(summary, made_at_s)

    def age_s(self, zone: ZoneName, now_s: float) -> float:
        """Return how old the zone's summary is, in seconds; infinite when there is none."""
        held = self.summary_by_zone.get(zone)
        return math.inf if held is None else now_s - held.made_at_s

    def summaries(self) -> tuple[ZoneSummary, ...]:
        """Return the youngest summaries, aged to now, for one datagram."""
        fresh = [
            held
            for held in self.summary_by_zone.values()
            if self.now_s - held.made_at_s < MAX_SUMMARY_AGE_S
        ]
        fresh.sort(key=lambda held: (held.summary.zone != self.zone, -held.made_at_s))
        return tuple(
            ZoneSummary(
                held.summary.zone,
                int((self.now_s - held.made_at_s) * 1000),
                held.summary.alive,
                held.summary.payload,
            )
            for held in fresh[:MAX_SUMMARIES_PER_DATAGRAM]
        )

"""Gossip between VMs: member updates and zone summaries."""

import math
from dataclasses import dataclass

from balsamcleat.model import Member, VmId, ZoneName
from balsamcleat.model.peer import ZoneSummary

__all__ = ["GossipQueue", "ZoneView"]

# Each update is sent this many times, multiplied by the logarithm of the group size.
RETRANSMIT_FACTOR = 4
# Zone summaries older than this are outdated and no longer sent.
MAX_SUMMARY_AGE_S = 30.0
# Limit per datagram; the summary of the own zone comes first, then the most recent others.
MAX_SUMMARIES_PER_DATAGRAM = 6


class GossipQueue:
    """Member updates that are still to be sent; the least often sent go first."""

    def __init__(self) -> None:
        self.send_counts: dict[VmId, int] = {}
        self.members: dict[VmId, Member] = {}

    def add(self, member: Member) -> None:
        """Queue an update; it replaces an older update of the same member."""
        self.members[member.vm_id] = member
        self.send_counts[member.vm_id] = 0

    def next_updates(self, count: int, group_size: int) -> list[Member]:
        """Return up to ``count`` updates for one datagram, and count them as sent.

        Args:
            count: Maximum number of updates.
            group_size: Number of members that must receive the updates.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(group_size + 2))
        selected_ids = sorted(self.send_counts, key=lambda vm_id: (self.send_counts[vm_id], vm_id))[
            :count
        ]
        updates = [self.members[vm_id] for vm_id in selected_ids]
        for vm_id in selected_ids:
            self.send_counts[vm_id] += 1
            if self.send_counts[vm_id] >= limit:
                del self.send_counts[vm_id], self.members[vm_id]
        return updates


@dataclass(frozen=True, slots=True)
class TimedSummary:
    """Zone summary and the time at which its zone created it, on this VM's clock."""

    summary: ZoneSummary
    made_at_s: float


class ZoneView:
    """Most recent summary of each zone.

    Args:
        zone: Availability zone of this VM.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone
        self.summary_by_zone: dict[ZoneName, TimedSummary] = {}
        self.now_s = 0.0

    def set_own_summary(self, alive: int, payload: bytes, now_s: float) -> None:
        """Set the summary of the own zone."""
        self.now_s = now_s
        self.summary_by_zone[self.zone] = TimedSummary(
            ZoneSummary(self.zone, 0, alive, payload), now_s
        )

    def merge(self, summaries: tuple[ZoneSummary, ...], now_s: float) -> None:
        """Keep received summaries that are more recent, except those of the own zone."""
        self.now_s = max(self.now_s, now_s)
        for summary in summaries:
            made_at_s = now_s - summary.age_ms / 1000
            known = self.summary_by_zone.get(summary.zone)
            if summary.zone != self.zone and (known is None or made_at_s > known.made_at_s):
                self.summary_by_zone[summary.zone] = TimedSummary(summary, made_at_s)

    def age_s(self, zone: ZoneName, now_s: float) -> float:
        """Return the age of the zone's summary, in seconds; infinite if there is none."""
        known = self.summary_by_zone.get(zone)
        return math.inf if known is None else now_s - known.made_at_s

    def summaries(self) -> tuple[ZoneSummary, ...]:
        """Return the most recent summaries for one datagram, with their current ages."""
        fresh = [
            timed
            for timed in self.summary_by_zone.values()
            if self.now_s - timed.made_at_s < MAX_SUMMARY_AGE_S
        ]
        fresh.sort(key=lambda timed: (timed.summary.zone != self.zone, -timed.made_at_s))
        return tuple(
            ZoneSummary(
                timed.summary.zone,
                int((self.now_s - timed.made_at_s) * 1000),
                timed.summary.alive,
                timed.summary.payload,
            )
            for timed in fresh[:MAX_SUMMARIES_PER_DATAGRAM]
        )

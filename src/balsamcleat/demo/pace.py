"""How much the demonstration does and how long it lets things last."""

from dataclasses import dataclass

__all__ = ["FULL_PACE", "SHORT_PACE", "Pace"]


@dataclass(frozen=True, slots=True)
class Pace:
    """Sizes and durations of the scenario; durations in seconds.

    Attributes:
        groups: Groups of samples in a step.
        group_size: Samples in a group.
        max_tokens: The most tokens of a sample.
        token_interval_s: Time that an engine needs for a frame of tokens.
        caller_pause_s: What a caller waits between calls.
        bump_after_s: Between new weight versions within the first step.
        failure_after_s: From the opening of a step to the failure within it.
        restart_after_s: From an engine's crash to its restart.
        outage_s: How long the platform's services are down.
        refusal_s: How long every replica of the plain service refuses.
        silence_after_s: From an order to leave to the time from which no new work may come.
        silence_s: How long the absence of new work is watched.
    """

    groups: int = 24
    group_size: int = 8
    max_tokens: int = 128
    token_interval_s: float = 0.015
    caller_pause_s: float = 0.04
    bump_after_s: float = 0.3
    failure_after_s: float = 0.6
    restart_after_s: float = 1.5
    outage_s: float = 3.0
    refusal_s: float = 1.0
    silence_after_s: float = 3.0
    silence_s: float = 1.5


FULL_PACE = Pace()
# For tests: every event happens, with fewer samples and shorter waits.
SHORT_PACE = Pace(
    groups=8,
    group_size=4,
    max_tokens=64,
    token_interval_s=0.01,
    bump_after_s=0.1,
    failure_after_s=0.15,
    restart_after_s=0.3,
    outage_s=1.0,
    refusal_s=0.3,
    silence_after_s=2.5,
    silence_s=0.3,
)

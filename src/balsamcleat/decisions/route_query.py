"""What a request asks of its target, and what the router holds against one."""

from dataclasses import dataclass

from balsamcleat.model import ServiceName, TargetId

__all__ = ["RouteQuery", "RouterCosts"]


@dataclass(frozen=True, slots=True)
class RouterCosts:
    """What the router holds against a target, in seconds.

    Attributes:
        crowding_s: A full batch, against an empty one.
        block_s: A prompt block that must be computed.
        busy_block_s: What it costs besides in a zone that is full, where the time that it takes
            is lost to others.
        turn_s: Not being the next in turn.
        rank_s: Each place further down in the order of a prefix's holders.
        spill_load: Load of the own zone, 0 to 1, above which requests go to other zones.
    """

    full_load_s: float = 0.2
    uncached_block_s: float = 0.004
    busy_uncached_block_s: float = 0.02
    out_of_turn_s: float = 0.4
    holder_rank_s: float = 0.03
    spill_load: float = 0.9


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """What a request asks of its target.

    Attributes:
        service: The service.
        prefix_digests: Digests of the prompt's leading blocks, longest last.
        adapter: The adapter asked for.
        exclude: Targets already tried.
    """

    service: ServiceName
    prefix_digests: tuple[int, ...] = ()
    adapter: str | None = None
    exclude: frozenset[TargetId] = frozenset()

"""The routing requirements of a request, and the costs that the router ranks targets by."""

from dataclasses import dataclass

from balsamcleat.model import ServiceName, TargetId

__all__ = ["RouteQuery", "RouterCosts"]


@dataclass(frozen=True, slots=True)
class RouterCosts:
    """Parameters of the router: costs of a target in seconds, and the load that starts spilling.

    The candidate with the lowest sum of costs is chosen.

    Attributes:
        full_load_s: Cost of a full batch compared with an empty one.
        uncached_block_s: Cost of a prompt block that is not cached and must be computed.
        busy_uncached_block_s: Additional cost of such a block in a zone at full load, where the
            computing time is lost to other requests.
        out_of_turn_s: Cost of a target that is not the next in round-robin order.
        holder_rank_s: Cost of each position in the ranking of the engines that hold a prefix.
        spill_load: Load of this zone, 0 to 1, above which requests go to other zones.
    """

    full_load_s: float = 0.2
    uncached_block_s: float = 0.004
    busy_uncached_block_s: float = 0.02
    out_of_turn_s: float = 0.4
    holder_rank_s: float = 0.03
    spill_load: float = 0.9


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """The requirements of a request on its target.

    Attributes:
        service: Service of the request.
        prefix_digests: Digests of the prompt's leading blocks, longest last.
        adapter: Adapter that the request needs, if any.
        exclude: Targets that must not be chosen, such as those already tried.
    """

    service: ServiceName
    prefix_digests: tuple[int, ...] = ()
    adapter: str | None = None
    exclude: frozenset[TargetId] = frozenset()

"""Builds one node from its settings."""

import anyio
import anyio.abc

from balsamcleat.adapters.system import SystemRandomness
from balsamcleat.composition.base import compose_foundation
from balsamcleat.composition.http_api import compose_http_api, make_tls
from balsamcleat.composition.live import compose_live
from balsamcleat.composition.node import Node
from balsamcleat.composition.peers import compose_peers
from balsamcleat.composition.rollouts import (
    compose_leases,
    compose_rollouts,
    compose_weight_orders,
)
from balsamcleat.ports import Randomness
from balsamcleat.settings import Settings
from balsamcleat.tasks.table_archiver import TableArchiver

__all__ = ["compose"]


async def compose(settings: Settings, randomness: Randomness | None = None) -> Node:
    """Build a node from its settings, and bind the sockets for its peers.

    Args:
        settings: Settings of the node.
        randomness: Source of random generators and ids; the operating system by default.
    """
    base = compose_foundation(settings, randomness or SystemRandomness())
    peers = await compose_peers(base)
    live = compose_live(base, peers)
    rollouts = compose_rollouts(base, peers, live)
    leases = compose_leases(base, peers)
    drain = anyio.Event()
    return Node(
        settings=settings,
        client=base.client,
        unpooled_client=base.unpooled_client,
        metrics=base.metrics,
        keeper=peers.keeper,
        vm_list=peers.vm_list,
        link=peers.link,
        watch=live.watch,
        leases=leases,
        rollouts=rollouts,
        weight_orders=compose_weight_orders(base, peers, leases),
        guard=compose_http_api(base, peers, live, rollouts, drain),
        tls=make_tls(settings),
        drain=drain,
        keys=peers.keys,
        platform=base.platform,
        claims=live.claims,
        canceller=live.canceller,
        archiver=TableArchiver(
            base.platform.table,
            base.platform.objects,
            peers.keeper,
            leases,
            base.clock,
            base.randomness,
            base.metrics,
        ),
    )

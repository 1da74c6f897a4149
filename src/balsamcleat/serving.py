"""Run one node as a process: logs set up, signals turned into a drain."""

import anyio
import structlog

from balsamcleat.composition import compose
from balsamcleat.logs import json_logs
from balsamcleat.settings import Settings
from balsamcleat.signal_receiver import handle_signals

__all__ = ["serve_node"]

log = structlog.get_logger()


async def serve_node(settings: Settings) -> None:
    """Run a node until it is drained.

    Args:
        settings: Its settings.
    """
    json_logs()
    node = await compose(settings)
    async with anyio.create_task_group() as group:
        await group.start(handle_signals, lambda _: node.drain.set(), ignore_reload)
        await node.run()
        group.cancel_scope.cancel()


def ignore_reload() -> None:
    """Log that a node has no settings that it could reload."""
    log.info("reload ignored", cause="SIGHUP")

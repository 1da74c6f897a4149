"""Pools of the connections that an entry VM opens, and the budgets that they share."""

from balsamcleat.http1 import ByteBudget, ConnectionPool, IdleWatch, PoolLimits, WorkBudget
from balsamcleat.platform import CORRELATION_HEADER, PlatformSettings

__all__ = ["EntryConnections"]

# A trainer submits its next step some seconds after the previous one; the connections to targets
# must still be open then.
TARGET_IDLE_TIMEOUT_S = 8.0
MAX_IDLE_TARGET_CONNECTIONS = 256
TARGET_CONNECT_TIMEOUT_S = 0.5
STORE_LIMITS = PoolLimits(connect_timeout_s=0.8, max_idle_connections=16)
PEER_LIMITS = PoolLimits(connect_timeout_s=0.3, max_idle_connections=16)
# Part of the VM's memory for the bodies that are held. A body may exist three times while it is
# joined and sent, and the rest of the process needs memory, too.
BODY_MEMORY_SHARE = 1 / 8


class EntryConnections:
    """Connections of one process.

    Args:
        settings: Settings of this VM.

    Attributes:
        idle_watch: Watch on idle connections.
        byte_budget: Budget of the bytes of bodies, which the servers share, too.
        work_budget: Budget of the work that bodies in small pieces cause, likewise.
        store: Connections to the platform's store.
        peers: Connections to other VMs for their own protocol.
        targets: Connections to targets.
        relays: Connections to other VMs for requests that they pass on to targets.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.idle_watch = IdleWatch()
        self.byte_budget = ByteBudget(byte_limit(settings))
        self.work_budget = WorkBudget()
        self.store = ConnectionPool(STORE_LIMITS, idle_watch=self.idle_watch)
        self.peers = ConnectionPool(PEER_LIMITS, idle_watch=self.idle_watch)
        self.targets = self.create_target_pool(TARGET_CONNECT_TIMEOUT_S)
        self.relays = self.create_target_pool(PEER_LIMITS.connect_timeout_s)

    def create_target_pool(self, connect_timeout_s: float) -> ConnectionPool:
        """Return a pool of connections on which requests to targets are sent.

        Args:
            connect_timeout_s: Longest time until a connection is open, in seconds.
        """
        limits = PoolLimits(
            connect_timeout_s=connect_timeout_s,
            idle_timeout_s=TARGET_IDLE_TIMEOUT_S,
            max_idle_connections=MAX_IDLE_TARGET_CONNECTIONS,
            resets_abandoned=True,
        )
        return ConnectionPool(
            limits, CORRELATION_HEADER, self.idle_watch, self.byte_budget, self.work_budget
        )

    def apply_settings(self, settings: PlatformSettings) -> None:
        """Apply new settings."""
        self.byte_budget.limit_bytes = byte_limit(settings)


def byte_limit(settings: PlatformSettings) -> int | None:
    """Return how many bytes of bodies this VM may hold, or None for no limit."""
    if settings.memory_bytes is None:
        return None
    return int(settings.memory_bytes * BODY_MEMORY_SHARE)

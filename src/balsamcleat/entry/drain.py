"""Serves callers between the stop signal and the end of the process."""

import anyio

from balsamcleat.decisions.stop_schedule import StopSchedule
from balsamcleat.http1 import HttpServer

__all__ = ["drain_callers"]

# The load balancer removes a VM after two failed readiness checks, which are a second apart. Until
# then it sends callers to the VM.
LOAD_BALANCER_DELAY_S = 2.5
# Idle connections stay open this long after the stop signal, for callers that reuse them.
IDLE_CONNECTION_GRACE_S = 4.0
DRAIN_CHECK_INTERVAL_S = 0.05


async def drain_callers(server: HttpServer, schedule: StopSchedule) -> None:
    """Serve until the load balancer has removed this VM and callers are done, or time runs out.

    Args:
        server: Server of the callers; it is draining already.
        schedule: Time of the stop, which has begun.
    """
    assert schedule.began_s is not None
    while anyio.current_time() < schedule.ends_s:
        await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        elapsed_s = anyio.current_time() - schedule.began_s
        if elapsed_s >= IDLE_CONNECTION_GRACE_S:
            server.close_idle_connections()
        is_unused = elapsed_s >= IDLE_CONNECTION_GRACE_S or not server.connections
        if elapsed_s < LOAD_BALANCER_DELAY_S or not is_unused:
            continue
        if not server.has_open_requests:
            # Requests that arrived just now are accepted and answered.
            server.stop_accepting()
        if server.is_closed and not server.connections:
            return

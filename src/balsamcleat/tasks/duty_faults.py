"""Keeps the performance of a duty going after a fault of this program."""

from collections.abc import Awaitable, Callable

import anyio
import structlog

from balsamcleat.ports.duties import Duty, DutyLease

__all__ = ["FAULT_PAUSE_S", "perform_guarded"]

# Pause after a fault of this program, in seconds; the next try would probably meet it again.
FAULT_PAUSE_S = 5.0

log = structlog.get_logger()


async def perform_guarded(
    duty: Duty, lease: DutyLease, action: Callable[[], Awaitable[None]]
) -> bool:
    """Perform an action of a duty; return False after a fault, which is logged and costs a pause.

    The VM goes on serving its callers, and offers the lease to the other VMs.

    Args:
        duty: Duty that the action belongs to.
        lease: Lease on the duty.
        action: Action to perform.
    """
    try:
        await action()
    except Exception:
        log.exception("duty failed by a fault", duty=duty.value)
        lease.report_fault()
        await anyio.sleep(FAULT_PAUSE_S)
        return False
    return True

"""Handling of signals for as long as a process serves."""

import signal
from collections.abc import Callable

import anyio
import anyio.abc

from balsamcleat.signal_mask import HANDLED_SIGNALS, hold_signals, release_signals

__all__ = ["handle_signals"]


async def handle_signals(
    on_stop: Callable[[int], None],
    on_reload: Callable[[], None],
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Handle signals until cancelled; afterwards they are blocked until the process ends.

    A receiver of signals replaces their default action, which ends the process, only while it is
    open. It must therefore stay open during the whole of a stop.

    Args:
        on_stop: Called with each SIGTERM or SIGINT.
        on_reload: Called with each SIGHUP.
        task_status: Told once signals are handled.
    """
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        release_signals()
        task_status.started()
        try:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    on_reload()
                else:
                    on_stop(signal_number)
        finally:
            hold_signals()

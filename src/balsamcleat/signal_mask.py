"""Blocking of the signals that a process handles, while it can't handle them.

The default action of SIGTERM, SIGINT and SIGHUP ends a process at once. Blocked signals stay
pending instead. This module imports little, so that a process can block them first of all.
"""

import signal

__all__ = ["HANDLED_SIGNALS", "hold_signals", "release_signals"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Block signals: they stay pending until they are released."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Deliver pending signals, and later ones as they come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

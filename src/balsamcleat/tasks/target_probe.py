"""Probe whether a target still accepts connections."""

from balsamcleat.http1.streams import connect

__all__ = ["accepts_connections"]

PROBE_TIMEOUT_S = 0.5


async def accepts_connections(address: str, timeout_s: float = PROBE_TIMEOUT_S) -> bool:
    """Return whether a connection to ``IP:PORT`` can be opened; it is closed at once."""
    try:
        stream = await connect(address, timeout_s)
    except OSError:
        return False
    stream.close()
    return True

"""Addresses of servers in the form ``HOST:PORT``."""

__all__ = ["parse_address"]

MAX_PORT = 65535
# The longest port number has five digits.
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``HOST:PORT``.

    Raises:
        ValueError: There is no host, or no port to which one can connect.
    """
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError("there is no host")
    # int() would also accept signs, underscores and digits of other scripts.
    if not port.isascii() or not port.isdecimal() or len(port) > MAX_PORT_DIGITS:
        raise ValueError("the port is not a number")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"there is no port {port}")
    return host, int(port)

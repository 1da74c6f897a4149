"""Loopback networks for soaks that run at the same time on one machine."""

import socket
from collections import deque

__all__ = ["claim_network"]

FIRST_NETWORK = 10
NETWORKS = 200
# Neither a VM nor a target listens here.
CLAIM_HOST, CLAIM_PORT = "0.250", 7999
# The sockets of a soak that has ended may linger, so that the next ones use other networks.
MAX_CLAIMS = 40
CLAIMS: deque[socket.socket] = deque()


def claim_network(seed: int) -> int:
    """Claim a network 127.NUMBER.0.0/16 for a soak of this process; that of the seed if it is free.

    Returns:
        The number of the network.

    Raises:
        OSError: All networks are claimed.
    """
    for offset in range(NETWORKS):
        number = FIRST_NETWORK + (seed + offset) % NETWORKS
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.{CLAIM_HOST}", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        CLAIMS.append(claim)
        if len(CLAIMS) > MAX_CLAIMS:
            CLAIMS.popleft().close()
        return number
    raise OSError("all loopback networks are claimed by other soaks")

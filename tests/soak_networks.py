"""Loopback networks for soaks that run at the same time on one machine."""

import socket

__all__ = ["claim_network"]

FIRST_NETWORK = 10
NETWORKS = 200
# Neither a VM nor a target listens here.
CLAIM_HOST, CLAIM_PORT = "0.250", 7999


def claim_network(seed: int) -> tuple[socket.socket, int]:
    """Claim a network 127.NUMBER.0.0/16 for this process, the one of the seed if it is free.

    Returns:
        A socket that holds the claim until it is closed, and the number of the network.

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
        else:
            return claim, number
    raise OSError("all loopback networks are claimed by other soaks")

"""Implementations of the ports: HTTP, peer sockets, metrics, clock and randomness."""

"""Decide how often a node reads the table, so that all together stay within a share."""

import random

__all__ = ["ReadPacer"]


class ReadPacer:
    """Draws the waits between reads that every node makes.

    Args:
        min_mean_wait_s: The shortest mean wait, in seconds.
        system_reads_per_s: The most such reads in the whole system, each second.
        generator: Draws the jitter.
    """

    def __init__(
        self, min_mean_wait_s: float, system_reads_per_s: float, generator: random.Random
    ) -> None:
        self.min_mean_wait_s = min_mean_wait_s
        self.system_reads_per_s = system_reads_per_s
        self.generator = generator

    def mean_wait_s(self, nodes: int) -> float:
        """Return the mean wait with so many nodes, in seconds."""
        return max(self.min_mean_wait_s, nodes / self.system_reads_per_s)

    def wait_s(self, nodes: int) -> float:
        """Return the wait until the next read, in seconds."""
        return self.mean_wait_s(nodes) * self.generator.uniform(0.5, 1.5)

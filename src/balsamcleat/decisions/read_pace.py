"""Interval between table reads of a VM, which bounds the read rate of all VMs together."""

import random

__all__ = ["ReadPacer"]


class ReadPacer:
    """Randomized waits between the periodic reads that every VM makes.

    Args:
        min_mean_wait_s: Minimum mean wait between two reads of a VM, in seconds.
        system_reads_per_s: Maximum number of such reads per second by all VMs together.
        generator: Random generator for jitter.
    """

    def __init__(
        self, min_mean_wait_s: float, system_reads_per_s: float, generator: random.Random
    ) -> None:
        self.min_mean_wait_s = min_mean_wait_s
        self.system_reads_per_s = system_reads_per_s
        self.generator = generator

    def mean_wait_s(self, vm_count: int) -> float:
        """Return the mean wait for the given number of VMs, in seconds."""
        return max(self.min_mean_wait_s, vm_count / self.system_reads_per_s)

    def wait_s(self, vm_count: int) -> float:
        """Return the wait until the next read, in seconds."""
        return self.mean_wait_s(vm_count) * self.generator.uniform(0.5, 1.5)

"""Clock and randomness of this process."""

import random
import time
import uuid

import anyio

from balsamcleat.ports import Clock, Randomness

__all__ = ["SeededRandomness", "SystemClock", "SystemRandomness"]


class SystemClock(Clock):
    """Clock of the event loop, which tests may run in virtual time."""

    def now_s(self) -> float:
        """Return the monotonic time of the event loop, in seconds."""
        return anyio.current_time()

    def wall_s(self) -> float:
        """Return the time since the Unix epoch, in seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await anyio.sleep(seconds)


class SystemRandomness(Randomness):
    """Randomness seeded by the operating system."""

    def generator(self, name: str) -> random.Random:
        """Return a new generator, independent of ``name``."""
        return random.Random()

    def fresh_id(self) -> str:
        """Return a random UUID."""
        return uuid.uuid4().hex


class SeededRandomness(Randomness):
    """Randomness that is the same in every run with the same seed.

    Args:
        seed: Seed of all generators and ids.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.ids = random.Random(f"{seed}:ids")

    def generator(self, name: str) -> random.Random:
        """Return a generator whose values depend on the seed and on ``name``."""
        return random.Random(f"{self.seed}:{name}")

    def fresh_id(self) -> str:
        """Return the next id that the seed determines."""
        return f"{self.ids.getrandbits(128):032x}"

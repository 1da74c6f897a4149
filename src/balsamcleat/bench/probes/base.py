"""What a probe is, what it returns, and the line through its points."""

import gc
import statistics
import time
import tracemalloc
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from types import TracebackType

import anyio

__all__ = [
    "Cost",
    "CpuMeter",
    "MemoryMeter",
    "Point",
    "Probe",
    "Quantity",
    "SlopeFit",
    "fit",
    "spend",
]


class Quantity(Enum):
    """What is measured; the value names the unit."""

    CPU = "processor seconds"
    MEMORY = "resident bytes"
    SENT = "bytes sent"
    RECEIVED = "bytes received"
    TABLE_READS = "table reads"
    TABLE_WRITES = "table writes"
    OBJECT_PUTS = "object puts"


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement: at ``size`` units the part cost ``value``."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class SlopeFit:
    """A line through points: ``value = intercept + slope * size``.

    Attributes:
        slope: Cost of one more unit.
        intercept: Cost at no unit.
        r_squared: How good the line fits, 0 to 1; 1 for a cost that stays the same.
    """

    slope: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return what the line gives at ``size``, never below zero."""
        return max(0.0, self.intercept + self.slope * size)


@dataclass(frozen=True, slots=True)
class Cost:
    """What one kind of unit costs in one quantity.

    Attributes:
        name: The probe, such as ``peer known``.
        unit: What is counted, such as ``peer``.
        per: What the value is for, such as ``node second`` or ``whole run``.
        quantity: What is measured.
        points: The measurements.
        fit: The line through them.
    """

    name: str
    unit: str
    per: str
    quantity: Quantity
    points: tuple[Point, ...]
    fit: SlopeFit


class Probe(ABC):
    """Runs a part at several sizes.

    Attributes:
        name: Names the probe in reports.
        unit: What the size counts.
        per: What a value is for.
        sizes: The sizes.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]

    @abstractmethod
    def measure(self, size: int) -> dict[Quantity, float]:
        """Run the part at one size and return what it cost."""

    def run(self) -> tuple[Cost, ...]:
        """Run all sizes and fit a line for each quantity."""
        measured = {size: self.measure(size) for size in self.sizes}
        quantities = measured[self.sizes[0]]
        return tuple(
            self.cost(
                quantity,
                tuple(Point(size, measured[size][quantity]) for size in self.sizes),
            )
            for quantity in quantities
        )

    def cost(self, quantity: Quantity, points: tuple[Point, ...]) -> Cost:
        """Return the cost in one quantity."""
        return Cost(self.name, self.unit, self.per, quantity, points, fit(points))


def fit(points: tuple[Point, ...]) -> SlopeFit:
    """Return the least-squares line through the points.

    Args:
        points: At least two, of different sizes.
    """
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    line = statistics.linear_regression(sizes, values)
    if len(set(values)) == 1:
        return SlopeFit(line.slope, line.intercept, 1.0)
    correlation = statistics.correlation(sizes, values)
    return SlopeFit(line.slope, line.intercept, correlation**2)


class CpuMeter:
    """Processor time spent inside the ``with`` block, in seconds.

    Args:
        this_thread: Count only this thread, not the whole process.
    """

    def __init__(self, *, this_thread: bool = False) -> None:
        self.read = time.thread_time if this_thread else time.process_time
        self.seconds = 0.0

    def __enter__(self) -> "CpuMeter":
        gc.collect()
        self.started = self.read()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.seconds = self.read() - self.started


async def spend(ask: Callable[[int], Awaitable[None]], count: int, at_once: int) -> float:
    """Return the processor seconds of ``count`` numbered questions, some of them at a time."""
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            await ask(number)

    with CpuMeter() as cpu:
        async with anyio.create_task_group() as tasks:
            for _ in range(at_once):
                tasks.start_soon(work)
    return cpu.seconds


class MemoryMeter:
    """Bytes of the objects that were made inside the ``with`` block and are still held."""

    def __init__(self) -> None:
        self.bytes = 0

    def __enter__(self) -> "MemoryMeter":
        gc.collect()
        tracemalloc.start()
        self.before = tracemalloc.get_traced_memory()[0]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        gc.collect()
        self.bytes = tracemalloc.get_traced_memory()[0] - self.before
        tracemalloc.stop()

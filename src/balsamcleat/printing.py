"""Lay out what the command line shows to people."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

__all__ = ["layout", "wall_time"]


def layout(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows under headings, in columns wide enough for their cells."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[position]) for row in cells)])
        for position, heading in enumerate(columns)
    ]
    lines = [list(columns), ["-" * width for width in widths], *cells]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def wall_time(seconds: float) -> str:
    """Return seconds since the Unix epoch as UTC time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S") if seconds else "-"

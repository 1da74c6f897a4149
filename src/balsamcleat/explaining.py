"""Put the log lines about one request, sample or step in order, over VMs whose clocks differ."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from balsamcleat.decoding import decode_json

__all__ = ["ExplainedLine", "explain", "read_lines"]

# Fields that name what a line is about.
ID_FIELDS = ("request", "step", "sample", "target", "content")
COMMON = frozenset({"at_s", "vm", "level", "event"})
# What was believed around the life of a request is told this long before and after it.
AROUND_S = 1.0
# Beliefs of the VMs that touched a request; of other VMs they explain nothing.
BELIEFS = frozenset(
    {
        "configuration in force",
        "readiness",
        "store lost",
        "store regained",
        "feed gap",
        "store reached by way of a peer",
        "store reached straight again",
        "presence lost",
        "presence regained",
        "start",
        "stop asked for",
        "stop",
        "reload",
        "log lines dropped",
    }
)


@dataclass(frozen=True, slots=True)
class ExplainedLine:
    """A line of the story: when, where, what, and the fields that decided it."""

    at_s: float
    vm: str
    event: str
    fields: dict[str, Any]

    def text(self, start_s: float) -> str:
        """Return the line for people; times count from the first one."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at_s - start_s:9.3f} s  {self.vm:<18} {self.event:<32} {fields}"


def read_lines(paths: Iterable[Path]) -> list[ExplainedLine]:
    """Return the log lines in files; what stands before a line's JSON is passed over.

    A prefix with a collector's own time is used in place of the VM's time of day,
    as it is the same clock for all VMs.
    """
    lines = []
    for path in paths:
        with path.open(errors="replace") as file:
            for text in file:
                line = parse(text)
                if line is not None:
                    lines.append(line)
    return lines


def parse(text: str) -> ExplainedLine | None:
    """Return a log line, or None where the text is none."""
    start = text.find('{"at_s"')
    if start < 0:
        return None
    try:
        fields = decode_json(text[start:])
    except msgspec.DecodeError:
        return None
    at_s = prefix_time(text[:start])
    return ExplainedLine(
        at_s=fields["at_s"] if at_s is None else at_s,
        vm=fields.get("vm", ""),
        event=fields.get("event", ""),
        fields={name: value for name, value in fields.items() if name not in COMMON},
    )


def prefix_time(prefix: str) -> float | None:
    """Return the time that stands before a line, if one does."""
    words = prefix.split()
    try:
        return float(words[0]) if words else None
    except ValueError:
        return None


def explain(wanted: str, lines: Iterable[ExplainedLine]) -> list[ExplainedLine]:
    """Return the lines about an id in the order of time, with what its VMs believed meanwhile."""
    lines = list(lines)
    about = [line for line in lines if names(line, wanted)]
    if not about:
        return []
    vms = {line.vm for line in about}
    first_s = min(line.at_s for line in about) - AROUND_S
    last_s = max(line.at_s for line in about) + AROUND_S
    around = [
        line
        for line in lines
        if line.event in BELIEFS and line.vm in vms and first_s <= line.at_s <= last_s
    ]
    return sorted([*about, *around], key=lambda line: line.at_s)


def names(line: ExplainedLine, wanted: str) -> bool:
    """Return whether a line is about an id."""
    return any(line.fields.get(name) == wanted for name in ID_FIELDS)

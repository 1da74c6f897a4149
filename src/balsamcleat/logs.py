"""Set up the log: JSON lines, one for each decision or change of state."""

import logging
import sys
import time
from typing import Any

import msgspec
import structlog

from balsamcleat.log_output import BoundedOutput
from balsamcleat.ports.metrics import Metrics

__all__ = ["bounded_logs", "json_logs", "quiet_logs"]

TIMED_EVENTS = frozenset(
    {"request answered", "attempt answered", "attempt failed", "sample run ended", "results read"}
)
MS = 1000.0
URGENT = frozenset({"warning", "error", "critical"})


def json_logs() -> None:
    """Write log lines as JSON, for whatever collects them from a process."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def quiet_logs() -> None:
    """Keep only errors, for commands whose own output tells what happens."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


def bounded_logs(vm: str, metrics: Metrics) -> BoundedOutput:
    """Write log lines as JSON to standard output, bounded and without ever waiting.

    Args:
        vm: Name of this VM; it stands in every line.
        metrics: Counts every event, written or not; times those that say how long they took.
    """
    output = BoundedOutput(sys.stdout.fileno())

    def render(
        _: Any, level: str, fields: structlog.typing.EventDict
    ) -> tuple[tuple[bytes], dict[str, Any]]:
        now_s = time.time()
        event = str(fields.pop("event"))
        metrics.count(f"events.{event}")
        if event in TIMED_EVENTS:
            metrics.timing(f"took.{event}", float(fields.get("took_s", 0.0)) * MS)
        line = {"at_s": round(now_s, 4), "vm": vm, "level": level, "event": event, **fields}
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        urgent = level in URGENT
        return (data,), {"event": event, "urgent": urgent, "now_s": now_s}

    structlog.configure(
        processors=[structlog.processors.format_exc_info, render],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: BoundedLogger(output),
        cache_logger_on_first_use=True,
    )
    return output


class BoundedLogger:
    """Hands structlog's lines to the bounded output.

    Args:
        output: Where they go.
    """

    def __init__(self, output: BoundedOutput) -> None:
        self.output = output

    def msg(self, line: bytes, *, event: str, urgent: bool, now_s: float) -> None:
        """Write one line."""
        self.output.write_line(line, event=event, urgent=urgent, now_s=now_s)

    debug = info = warning = error = critical = exception = msg

"""The list of log lines says what the code writes, and lines never hold secrets or block."""

import ast
import contextlib
import json
import os
from collections.abc import Iterator
from pathlib import Path

import balsamcleat
from balsamcleat.decisions.live_attempts import FailureStatus
from balsamcleat.log_events import EVENTS, render
from balsamcleat.log_output import BUFFER_BYTES, LINES_PER_S, BoundedOutput

SOURCE = Path(balsamcleat.__file__).parent
ENTRY_MODULES = (
    *SOURCE.glob("entry/*.py"),
    SOURCE / "http1" / "connection_pool.py",
    SOURCE / "http1" / "exchange.py",
    SOURCE / "http1" / "server.py",
    SOURCE / "http1" / "server_connection.py",
    SOURCE / "platform" / "store.py",
    *(
        SOURCE / "tasks" / f"{name}.py"
        for name in (
            "request_dispatcher",
            "row_garbage_collector",
            "late_step_watch",
            "live_errors",
            "attempt_log",
            "crash_guard",
            "live_forwarder",
            "duty_faults",
            "duty_lease_log",
            "peers",
            "relayed_store",
            "replica_keeper",
            "result_writer",
            "rollout_handler",
            "step_responses",
            "submission_handler",
            "submission_reader",
            "rollout_records",
            "stored_values",
            "rollout_runner",
            "sample_placer",
            "sample_resumption",
            "sample_run",
            "sample_scorer",
            "scaling_controller",
            "step_deletion",
            "step_scorer",
            "routing_keeper",
            "pause_guard",
            "step_transfer",
            "step_feed",
            "stream_forwarder",
            "team_guard",
            "stream_register",
            "shared_crash_history",
            "table_follower",
            "target_paths",
            "target_relay",
            "crash_detector",
            "target_exchange",
            "true_clock",
            "usage_counter",
            "usage_records",
            "usage_reporter",
            "version_orders",
            "vm_presence",
        )
    ),
)
KNOWN = {event.name: set(event.fields) for event in EVENTS}
# Fields that hold what a caller or an operator must keep to themselves.
NEVER_LOGGED = {"body", "token", "headers", "text", "value"}


def calls() -> Iterator[tuple[str, set[str]]]:
    """Yield name and fields of each line that the code writes; shared fields are left out."""
    for path in ENTRY_MODULES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = node.func.value
            if not isinstance(owner, ast.Name) or owner.id != "log":
                continue
            name = node.args[0]
            if isinstance(name, ast.Constant):
                yield name.value, {word.arg for word in node.keywords if word.arg}


def test_every_line_is_on_the_list_with_its_fields() -> None:
    for name, fields in calls():
        assert name in KNOWN, name
        assert fields <= KNOWN[name], (name, fields - KNOWN[name])


def test_every_event_on_the_list_is_written() -> None:
    written = {name for name, _ in calls()} | {"log lines dropped"}
    composed = {name for name in KNOWN if name.startswith("target ")}
    assert set(KNOWN) - composed <= written


def test_no_line_holds_a_body_or_a_token() -> None:
    for event in EVENTS:
        assert not NEVER_LOGGED & set(event.fields), event.name


def test_every_final_answer_of_ours_is_a_line() -> None:
    assert {"status", "reason", "retry_after_s"} <= KNOWN["request refused"]
    assert {answer.value for answer in FailureStatus} == {500, 502, 503, 504}


def test_the_page_is_made_from_the_list() -> None:
    page = Path(__file__).parent.parent / "docs" / "LOG-EVENTS.md"
    assert page.read_text() == render()


def test_a_reader_that_stops_for_ten_seconds_blocks_nothing() -> None:
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    line = b'{"event":"attempt answered"}' + b" " * 200 + b"\n"
    for tick in range(10 * LINES_PER_S):
        now_s = 100.0 + tick / LINES_PER_S
        output.write_line(line, event="attempt answered", urgent=False, now_s=now_s)
    assert output.waiting_bytes <= BUFFER_BYTES
    dropped = output.dropped["attempt answered"]
    assert dropped > 0
    received = b""
    os.set_blocking(reader, False)
    for tick in range(200):
        with contextlib.suppress(BlockingIOError):
            received += os.read(reader, 65536)
        output.begin_second(200 + tick)
        output.drain()
    whole = [json.loads(found) for found in received.splitlines()]
    told = [found["counts"] for found in whole if found["event"] == "log lines dropped"]
    assert sum(counts["attempt answered"] for counts in told) == dropped
    os.close(reader)
    os.close(writer)


def test_lines_of_failures_are_dropped_after_those_of_successes() -> None:
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    for _ in range(LINES_PER_S + 50):
        output.write_line(b"{}\n", event="fine", urgent=False, now_s=5.0)
    output.write_line(b"{}\n", event="failed", urgent=True, now_s=5.0)
    assert output.dropped["fine"] == 50
    assert not output.dropped["failed"]
    os.close(reader)
    os.close(writer)

"""Tests of the platform package: decoding, rejected input, and confinement of its wire names."""

import json
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

import balsamcleat
from balsamcleat.checking import check_file
from balsamcleat.entry.reload import SettingsWatcher
from balsamcleat.errors import InvalidInputError, ProtocolError
from balsamcleat.http1 import EventParser, Request
from balsamcleat.model import ServiceName, StepId, TargetId, ZoneName
from balsamcleat.model.replicas import ReplicaState
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.model.routing import AutoscaleSpec, RouteKind
from balsamcleat.platform import (
    StepCallKind,
    classify_step_call,
    decode_event,
    decode_named_version,
    decode_replica,
    decode_routing,
    decode_step,
    encode_results,
    load_platform_settings,
    parse_response_metadata,
    sample_request_headers,
)
from odd_entries import sound_entry

SOURCE_DIRECTORY = Path(balsamcleat.__file__).parent
# Wire names of the platform; only the platform package may contain them.
WIRE_NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|callSeq|kvUsed|kvCapTokens|coldLeftMs"
    r"|Server-Stamp|Not-Run|Expect-Instance|Attempt-Id|Deadline-Ms|Weight-Versions|Prompt-Prefix"
    r"|Token-Usage|queueTtlS|targetGroups|minVersion|totalCount|/lots/|/items/|Wait-Ms|\bTenant\b|apiKeys"
    r"|startupS|spotPrice|zonePrices|leaves_ms"
    r"|Duty-Holder|Fence-Token|windowId|cloudApi|dutyPerS|reportWindowS|usageLateS"
)
SETTINGS = {
    "node": "front-a-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "zones": {"a": "r"},
    "listen": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "portRange": [7300, 7315],
    "platform": {"address": "10.9.9.9:1", "writesPerS": 800, "rowBytes": 1000},
    "bounds": {"graceS": 8, "leaseMs": 3000, "somethingNew": True},
    "unknown": [1],
}
ROUTING = {
    "version": 7,
    "routes": [
        {"host": "H.example", "prefix": "/a/", "kind": "safe", "svc": "s", "timeoutMs": 1500},
        {"host": "h.example", "prefix": "/a/b/", "kind": "rollout", "split": [], "dueMs": 7500},
        {"host": "h.example", "prefix": "/new/", "kind": "a kind of tomorrow", "svc": "s"},
    ],
    "services": [{"name": "s", "engine": {"batchSlots": 16, "models": [{"name": "m"}]}}],
}


def test_only_the_platform_package_contains_its_wire_names() -> None:
    """Code elsewhere that uses a wire name would break when the platform's protocol changes."""
    for path in SOURCE_DIRECTORY.rglob("*.py"):
        if SOURCE_DIRECTORY / "platform" not in path.parents:
            found = WIRE_NAMES.search(path.read_text())
            assert found is None, (path, found)


def test_settings_file_is_converted_to_own_names_and_units(tmp_path: Path) -> None:
    """A wrong port or unit would break the calls between VMs or the pause between order leases."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = load_platform_settings(path)
    assert settings.peer_address == "10.0.0.1:7300"
    assert settings.order_gap_s == 3.0
    assert settings.store.limits.row_bytes == 1000
    assert check_file(path) == []


def test_memory_of_the_vm_is_optional(tmp_path: Path) -> None:
    """Settings files without it must load, and leave the bytes of bodies without a limit."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, "limits": {"ramMb": 512, "cpus": 0.5}}))
    assert load_platform_settings(path).memory_bytes == 512 * 1024 * 1024
    for limits in ({}, {"limits": {}}, {"limits": None}):
        path.write_text(json.dumps({**SETTINGS, **limits}))
        assert load_platform_settings(path).memory_bytes is None


@pytest.mark.parametrize("missing", ["node", "listen", "platform", "zone"])
def test_error_for_a_missing_setting_names_the_setting(missing: str, tmp_path: Path) -> None:
    """Without the name, the operator can't find the fault in the settings file."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({key: value for key, value in SETTINGS.items() if key != missing}))
    with pytest.raises(InvalidInputError, match=missing):
        load_platform_settings(path)
    assert missing in str(check_file(path, "platform")[0])


def test_reload_applies_a_valid_settings_file_only(tmp_path: Path) -> None:
    """A file that is invalid at reload must not replace the settings in force."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    applied = []
    watcher = SettingsWatcher(path, load_platform_settings(path), applied.append)
    path.write_text("{")
    watcher.reload("test")
    assert applied == []
    path.write_text(json.dumps({**SETTINGS, "platform": {"address": "10.9.9.8:1"}}))
    watcher.reload("test")
    assert applied[0].store.address == "10.9.9.8:1"


def test_routes_match_by_host_and_longest_prefix() -> None:
    """A request for a nested prefix must not go to the route of the shorter prefix."""
    table = decode_routing(json.dumps(ROUTING).encode())
    outer, inner = table.match("h.example", "/a/x"), table.match("h.example", "/a/b/x")
    assert outer is not None and inner is not None
    assert outer.kind is RouteKind.IDEMPOTENT
    assert inner.kind is RouteKind.ROLLOUT
    assert table.match("h.example", "/a") is None
    assert table.match("other.example", "/a/x") is None


def test_requests_of_an_unknown_route_kind_run_at_most_once() -> None:
    """A route kind of a later platform version must not make requests repeatable."""
    table = decode_routing(json.dumps(ROUTING).encode())
    route = table.match("h.example", "/new/x")
    assert route is not None
    assert not route.is_repeatable


def test_target_entries_in_another_format_are_ignored() -> None:
    """Other writers may put entries of another format into the table; they are no targets."""
    entry = sound_entry("s")
    replica = decode_replica("i-1", json.dumps(entry).encode(), 3)
    assert replica is not None
    assert (replica.target_id, replica.state) == (TargetId("i-1"), ReplicaState.READY)
    for other_entry in (
        {**entry, "state": "resting"},
        {**entry, "svc": None},
        {**entry, "address": "nowhere"},
        {**entry, "batchSlots": "many"},
        {"svc": "s"},
        [],
    ):
        assert decode_replica("i-1", json.dumps(other_entry).encode(), 3) is None


def test_reclaimable_target_and_its_departure_are_decoded() -> None:
    """A missed departure would place samples on a target that is about to be taken away."""
    entry = sound_entry("s", state="draining", spot=True)
    replica = decode_replica("i-1", json.dumps({**entry, "leaves_ms": 1500}).encode(), 3)
    assert replica is not None
    assert (replica.reclaimable, replica.leaves_s) == (True, 1.5)
    flagged = {**entry, "state": "ready", "draining": True}
    replica = decode_replica("i-1", json.dumps(flagged).encode(), 3)
    assert replica is not None
    assert (replica.state, replica.leaves_s) == (ReplicaState.DRAINING, None)


def test_unknown_forms_of_the_departure_keep_the_target_listed() -> None:
    """A new form of an optional field must not take a serving target off the list."""
    entry = sound_entry("s")
    odd = {**entry, "spot": "yes", "draining": {"by": "x"}, "leaves_ms": "soon"}
    for document in (entry, odd):
        replica = decode_replica("i-1", json.dumps(document).encode(), 3)
        assert replica is not None
        assert (replica.state, replica.reclaimable, replica.leaves_s) == (
            ReplicaState.READY,
            False,
            None,
        )


def test_autoscale_limits_are_decoded_and_unusable_ones_order_nothing() -> None:
    """Limits that can't be relied on must neither order targets nor refuse the document."""
    limits = {"min": 1, "max": 15, "startupS": 4.0, "spotPrice": 0.18, "zonePrices": {"a": 0.8}}

    def decode(value: object) -> AutoscaleSpec | None:
        services = [{"name": "s", "autoscale": value}]
        document = json.dumps({"version": 1, "routes": [], "services": services}).encode()
        return decode_routing(document).services[ServiceName("s")].autoscale

    assert decode(limits) == AutoscaleSpec(1, 15, 4.0, 0.18, {ZoneName("a"): 0.8})
    for unusable in (None, 7, {}, {"min": 3, "max": 2}, {"max": "many"}):
        assert decode(unusable) is None


@given(st.binary(max_size=200))
def test_decoders_reject_undecodable_bytes(data: bytes) -> None:
    """An unexpected exception type would end the task that reads a table or a submission."""
    assert decode_replica("i-1", data, 1) is None
    for decode in (decode_routing, decode_named_version):
        with pytest.raises(ProtocolError):
            decode(data)
    with pytest.raises(InvalidInputError):
        decode_step((), data)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)


@given(
    st.dictionaries(
        st.sampled_from(["svc", "address", "state", "models", "requests", "version", "routes"]),
        JSON_VALUES,
    )
)
def test_decoders_raise_only_documented_errors_for_wrong_field_types(document) -> None:
    """A field of an unexpected type or value must not raise another exception type."""
    data = msgspec.json.encode(document)
    decode_replica("i-1", data, 1)
    for decode in (decode_routing, decode_named_version):
        try:
            decode(data)
        except ProtocolError:
            continue
    try:
        decode_step((), data)
    except InvalidInputError:
        return


@given(st.lists(st.binary(max_size=30), max_size=8))
def test_event_parser_accepts_any_bytes(pieces: list[bytes]) -> None:
    """A malformed stream of a target may raise nothing but a UnicodeDecodeError."""
    parser = EventParser()
    for piece in pieces:
        try:
            parser.feed(piece)
        except UnicodeDecodeError:
            return


@example("inf", 200)
@example("nan", 503)
@example("1,2,-3", 200)
@given(st.text(alphabet=st.characters(codec="ascii"), max_size=20), st.integers(100, 599))
def test_any_header_value_is_parsed_without_an_error(value: str, status: int) -> None:
    """Values such as "inf" and "nan" parse as numbers but can't be converted to integers."""
    headers = tuple((name, value) for name in ("Server-Load", "Retry-After", "Weight-Versions"))
    try:
        parse_response_metadata(status, headers)
    except (ValueError, OverflowError) as error:
        raise AssertionError(value) from error


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", (3, 1, None)),
        ("3,1,8,100", (3, 1, 1.0)),
        ("3, 1, 8, 163", (3, 1, 1.63)),
        ("3,1,8,0", (3, 1, None)),
        ("3,1,8,fast", (3, 1, None)),
        ("3,1,8,120,later", (3, 1, 1.2)),
        ("3,1", (None, 0, None)),
        ("3,x,8,100", (None, 0, None)),
    ],
)
def test_load_counts_with_and_without_a_pace(
    value: str, load: tuple[int | None, int, float | None]
) -> None:
    """Guards against dropping the load of targets that state a fourth figure."""
    metadata = parse_response_metadata(200, (("Server-Load", value),))
    assert (metadata.running_count, metadata.waiting_count, metadata.pace_ratio) == load


def test_event_parser_reassembles_events_split_at_any_byte() -> None:
    """A network read may end inside an event, a line or a UTF-8 character."""
    stream = b"weight-versions: 3\nid: 1\ndata: a\ndata: b\n\n: note\n\nid: 2\ndata: \xc3\xa9\n\n"
    for cut in range(len(stream)):
        parser = EventParser()
        events = parser.feed(stream[:cut]) + parser.feed(stream[cut:])
        numbered = [event for event in events if event.event_id]
        assert [(event.event_id, event.data) for event in numbered] == [(1, "a\nb"), (2, "é")]
        assert [decode_event(event).weight_version for event in numbered] == [3, None]


def test_calls_about_steps_are_classified_by_method_and_path() -> None:
    """A wrong classification would end a step, or wait longer than the limit for results."""
    results_call = classify_step_call(Request("GET", "/lots/s1?after=12", (("Wait-Ms", "5000"),)))
    assert results_call is not None and results_call.query is not None
    assert (results_call.kind, results_call.step_id) == (StepCallKind.RESULTS, StepId("s1"))
    assert (results_call.query.position, results_call.query.wait_s) == (12, 1.0)
    body_call = classify_step_call(Request("GET", "/items/s1?id=x"))
    assert body_call is not None and (body_call.kind, body_call.sample_id) == (
        StepCallKind.BODY,
        "x",
    )
    end_call = classify_step_call(Request("DELETE", "/lots/s1"))
    assert end_call is not None and end_call.kind is StepCallKind.END
    assert classify_step_call(Request("PUT", "/lots/s1")) is None
    assert classify_step_call(Request("GET", "/other/s1")) is None


def test_submission_is_decoded_and_sample_headers_are_forwarded() -> None:
    """A lost header would make a target generate another sample than the trainer submitted."""
    item = {
        "id": "x",
        "path": "/p/x",
        "group": "g",
        "headers": {"Model": "m", "Token-Usage": "30,400", "Prompt-Prefix": "a:10,b:20"},
        "body": "q83v",
    }
    body = json.dumps({"model": "m", "minVersion": 3, "targetGroups": 1, "requests": [item]})
    step = decode_step((("Attempt-Id", "s1"),), body.encode())
    assert (step.step_id, step.oldest_version) == ("s1", 3)
    sample = step.samples[0]
    assert (sample.prompt_tokens, sample.max_tokens) == (30, 400)
    headers = dict(
        sample_request_headers(
            sample,
            "h",
            target_id=TargetId("i-1"),
            remaining_s=2.0,
            priority=4,
            last_event=7,
        )
    )
    assert headers["Token-Usage"] == "30,400"
    assert (headers["Attempt-Id"], headers["Last-Event-Id"]) == ("x", "7")
    duplicate_submission = json.dumps({"requests": [item, item]}).encode()
    with pytest.raises(InvalidInputError):
        decode_step((), duplicate_submission)


def test_page_of_results_has_the_format_that_trainers_read() -> None:
    """An abandoned sample is listed as lost; ``next`` is the position after the page."""
    results = (SampleResult("x", SampleState.COMPLETE, "a\nb", (6, 7)),)
    page = json.loads(encode_results(40, 12, results))
    assert (page["totalCount"], page["next"]) == (40, 13)
    assert page["results"][0] == {
        "id": "x",
        "state": "complete",
        "text": "a\nb",
        "versions": [6, 7],
    }
    lost_page = json.loads(encode_results(1, 0, (SampleResult("y", SampleState.GIVEN_UP),)))
    assert lost_page["results"][0]["state"] == "lost"

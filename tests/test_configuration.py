"""Patches, checks, dangers and the chain of digests."""

import copy
import json

import jsonpatch
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamcleat.configuration import (
    EMPTY_CONFIGURATION,
    ChangeRecord,
    Configuration,
    Document,
    NumberedConfiguration,
    PatchRejected,
    PatchRequest,
    apply_change,
    apply_patch,
    decode_and_verify,
    decode_stored_record,
    encode_snapshot,
    validate_configuration,
)
from balsamcleat.configuration.document import Delta
from balsamcleat.configuration.view import decode_document, encode_document
from balsamcleat.errors import ProtocolError
from control_fakes import add, add_zone, base_operations, patch, remove

QUIET = settings(derandomize=True, max_examples=80, deadline=None)


def made(base: NumberedConfiguration, *operations: dict[str, object]) -> NumberedConfiguration:
    outcome = apply_patch(base, patch(base.version, *operations, force=True), 1.0)
    assert isinstance(outcome, NumberedConfiguration), outcome
    return outcome


def refused(base: NumberedConfiguration, *operations: dict[str, object]) -> PatchRejected:
    outcome = apply_patch(base, patch(base.version, *operations), 1.0)
    assert isinstance(outcome, PatchRejected)
    return outcome


BASE = made(EMPTY_CONFIGURATION, *base_operations())

NAMES = st.sampled_from(["z", "model", "plain", "t0", "t1", "ops", "lab", "d", "new", "-", "a~1b"])
SECTIONS = st.sampled_from(
    ["zones", "services", "targets", "teams", "deployments", "limits", "format", "odd"]
)
FIELDS = st.sampled_from(["service", "zone", "draining", "idle_weight", "roles", "max_in_flight"])
VALUES = st.one_of(
    st.sampled_from([True, False, None, 0, 1, 2.5, "z", "model", "lab", [], ["operator"], {}]),
    st.sampled_from(
        [
            {"region": "r"},
            {"kind": "engine"},
            {"service": "model", "zone": "z", "address": "h:1"},
            {"service": "model", "team": "lab"},
        ]
    ),
)
POINTERS = st.one_of(
    st.just(""),
    st.builds(lambda a: f"/{a}", SECTIONS),
    st.builds(lambda a, b: f"/{a}/{b}", SECTIONS, NAMES),
    st.builds(lambda a, b, c: f"/{a}/{b}/{c}", SECTIONS, NAMES, FIELDS),
)
OPERATIONS = st.one_of(
    st.builds(lambda op, path, value: {"op": op, "path": path, "value": value},
              st.sampled_from(["add", "replace", "test"]), POINTERS, VALUES),
    st.builds(lambda path: {"op": "remove", "path": path}, POINTERS),
    st.builds(lambda op, source, path: {"op": op, "from": source, "path": path},
              st.sampled_from(["move", "copy"]), POINTERS, POINTERS),
)  # fmt: skip


def whole_patch(body: Configuration, operations: list[dict[str, object]]) -> object:
    """Apply a patch to the whole document, the plain way."""
    document = msgspec.to_builtins(body)
    return jsonpatch.JsonPatch(copy.deepcopy(operations)).apply(document)


@QUIET
@given(st.lists(OPERATIONS, max_size=4))
def test_patching_an_excerpt_gives_what_patching_the_whole_gives(
    operations: list[dict[str, object]],
) -> None:
    outcome = apply_patch(BASE, patch(1, *operations, force=True), 1.0)
    try:
        document = whole_patch(BASE.body, operations)
        expected = msgspec.convert(document, Configuration)
    except Exception:
        assert isinstance(outcome, PatchRejected)
        return
    if isinstance(outcome, PatchRejected):
        problems = {fault.problem for fault in outcome.faults}
        assert validate_configuration(expected) or any(
            "a name has" in problem for problem in problems
        )
        return
    assert not validate_configuration(expected)
    assert outcome.body == expected
    assert decode_document(outcome.document) == expected


@QUIET
@given(st.binary(max_size=60) | st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["op", "path", "from", "value", "x"]), inner, max_size=4),
).map(lambda value: json.dumps(value).encode()))  # fmt: skip
def test_no_patch_body_does_more_than_be_refused(body: bytes) -> None:
    outcome = apply_patch(BASE, PatchRequest(1, body, "a", "r", "o"), 1.0)
    assert isinstance(outcome, PatchRejected) or outcome.version == 2


def test_a_deeply_nested_patch_is_refused() -> None:
    body = b'[{"op":"add","path":"/x","value":' + b"[" * 100_000 + b"]" * 100_000 + b"}]"
    assert isinstance(apply_patch(BASE, PatchRequest(1, body, "a", "r", "o"), 1.0), PatchRejected)


@QUIET
@given(st.lists(st.tuples(st.integers(0, 40), st.booleans(), st.integers(0, 3)), max_size=30))
def test_the_digest_of_a_changed_document_is_that_of_the_same_document_made_at_once(
    steps: list[tuple[int, bool, int]],
) -> None:
    document, entries = Document.from_entries({}), {}
    for number, keep, value in steps:
        pointer, text = f"/targets/t{number}", str(value).encode()
        if keep:
            document = document.with_delta(Delta({pointer: text}))
            entries[pointer] = text
        else:
            document = document.with_delta(Delta({}, (pointer,)))
            entries.pop(pointer, None)
    assert document.digest() == Document.from_entries(entries).digest()
    assert dict(document.entries()) == entries


def test_every_fault_is_named_with_its_path() -> None:
    outcome = refused(
        BASE,
        add("/targets/bad", {"service": 7, "zone": "z", "adress": "x"}),
        add("/deployments/d/idle_weight", "much"),
        add("/zones/a b", {"region": "r"}),
        add("/odd", {}),
    )
    assert outcome.reason == "invalid"
    assert {fault.path for fault in outcome.faults} == {
        "/targets/bad/service",
        "/targets/bad/adress",
        "/targets/bad/address",
        "/deployments/d/idle_weight",
        "/zones/a b",
        "/odd",
    }


def test_ranges_and_references_are_checked() -> None:
    outcome = refused(
        BASE,
        add("/deployments/d/idle_weight", 1.5),
        add("/deployments/d/scorer", "none"),
        add("/targets/t0/address", "nowhere"),
        add("/trainers/a", {"deployment": "none", "team": "lab"}),
        add("/quotas/q", {"team": "lab", "requests_per_s": -1}),
        add("/teams/ops/token_sha256", ["secret"]),
        add("/limits/spill_load", 2),
        add("/route_defaults/max_attempts", 0),
    )
    assert {fault.path for fault in outcome.faults} == {
        "/deployments/d/idle_weight",
        "/deployments/d/scorer",
        "/targets/t0/address",
        "/trainers/a/deployment",
        "/quotas/q/requests_per_s",
        "/teams/ops/token_sha256/0",
        "/limits/spill_load",
        "/route_defaults/max_attempts",
    }


DRAIN = [add(f"/targets/t{number}/draining", True) for number in range(4)]


@pytest.mark.parametrize(
    ("operations", "path"),
    [
        (DRAIN, "/services/model"),
        (DRAIN[:3], "/services/model"),
        ([remove(f"/targets/t{number}") for number in range(4)], "/services/model"),
        ([add("/services/model/max_concurrency", 1)], "/services/model"),
        ([remove("/teams/ops")], "/teams"),
        ([add("/teams/ops/roles", ["viewer"])], "/teams"),
        ([remove("/deployments/d"), remove("/teams/lab")], "/teams/lab"),
        ([remove("/deployments/d")], "/deployments/d"),
        ([add("/services/plain/idempotent", True)], "/services/plain/idempotent"),
        ([add("/services/plain/outage_policy", "run")], "/services/plain/outage_policy"),
        ([add("/limits/max_in_flight", 10)], "/limits/max_in_flight"),
    ],
)
def test_a_dangerous_patch_needs_to_say_so(operations: list[dict[str, object]], path: str) -> None:
    outcome = refused(BASE, *operations)
    assert outcome.reason == "dangerous"
    assert path in {fault.path for fault in outcome.faults}
    assert made(BASE, *operations).version == 2


def test_draining_one_of_many_targets_is_no_danger() -> None:
    outcome = apply_patch(BASE, patch(1, DRAIN[0]), 1.0)
    assert isinstance(outcome, NumberedConfiguration)


def change_of(record: NumberedConfiguration) -> ChangeRecord:
    stored = decode_stored_record(record.change)
    assert isinstance(stored, ChangeRecord)
    return stored


def test_a_change_leads_to_the_same_configuration_everywhere() -> None:
    second = made(BASE, add_zone("new"))
    assert apply_change(BASE, change_of(second)) == second
    assert decode_and_verify(encode_snapshot(second)) == second


@pytest.mark.parametrize("old", [b'"10.0.0.1:80"', b'"author":"ann"', b'"version":2'])
def test_a_tampered_change_is_refused(old: bytes) -> None:
    target = {"service": "model", "zone": "z", "address": "10.0.0.1:80"}
    second = made(BASE, add("/targets/new", target))
    third = made(second, add_zone("y"))
    new = old.replace(b"0.0.1", b"9.9.9").replace(b"ann", b"eve").replace(b"2", b"3")
    forged = decode_stored_record(second.change.replace(old, new))
    assert isinstance(forged, ChangeRecord)
    with pytest.raises(ProtocolError):
        apply_change(apply_change(BASE, forged), change_of(third))


@QUIET
@given(st.binary(max_size=80), st.integers(0, 10_000), st.integers(0, 255))
def test_no_record_does_more_than_be_refused(junk: bytes, position: int, byte: int) -> None:
    for source in (encode_snapshot(BASE), BASE.change):
        mutated = bytearray(source)
        mutated[position % len(mutated)] = byte
        for data in (junk, bytes(mutated)):
            try:
                record = decode_and_verify(data)
            except ProtocolError:
                continue
            assert record.document.digest() == BASE.document.digest()


def later_release(record: NumberedConfiguration) -> NumberedConfiguration:
    """Return what a later release may make: new fields, new sections, a new kind of service."""
    put = {
        "/services/fancy": b'{"kind":"quantum"}',
        "/targets/f0": b'{"address":"h:1","service":"fancy","zone":"z"}',
        "/targets/t0": b'{"address":"10.0.0.9:80","colour":"red","service":"model","zone":"z"}',
        "/novelties": b'{"a":1}',
        "/schedules/s": b'{"at":"noon"}',
    }
    from balsamcleat.configuration.history import next_configuration

    return next_configuration(
        record, Delta(put), patch="[]", author="b", reason="", at_s=2.0, operation_id="later"
    )


def test_a_later_releases_configuration_is_followed_and_passed_on_whole() -> None:
    newer = apply_change(BASE, change_of(later_release(BASE)))
    assert newer.body.targets["t0"].address == "10.0.0.9:80"
    assert "fancy" not in newer.body.services
    assert "f0" not in newer.body.targets
    again = decode_and_verify(encode_snapshot(newer))
    assert again.document.get("/novelties") == b'{"a":1}'
    # A patch through this release leaves alone what it does not know.
    third = made(again, add_zone("new"))
    assert third.document.get("/services/fancy") == b'{"kind":"quantum"}'


def test_a_head_with_fields_of_a_later_release_keeps_its_digest() -> None:
    raw = BASE.head.replace(b'"forced":true', b'"forced":true,"ticket":"T-1"')
    record = ChangeRecord(
        head=msgspec.Raw(raw),
        put={key: msgspec.Raw(value) for key, value in encode_document(BASE.body).entries()},
    )
    assert isinstance(decode_stored_record(msgspec.json.encode(record)), ChangeRecord)
    stored = decode_stored_record(BASE.change.replace(BASE.head, raw))
    assert isinstance(stored, ChangeRecord)
    opened = apply_change(EMPTY_CONFIGURATION, stored)
    assert opened.digest != BASE.digest
    assert (
        apply_change(EMPTY_CONFIGURATION, decode_stored_record(opened.change)).digest
        == opened.digest
    )  # type: ignore[arg-type]

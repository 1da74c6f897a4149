"""Tests of JSON patches, validation, dangerous changes and the hash chain of configurations."""

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

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=80, deadline=None)


def apply_accepted(
    base: NumberedConfiguration, *operations: dict[str, object]
) -> NumberedConfiguration:
    """Return the configuration after a forced patch that must be accepted."""
    outcome = apply_patch(base, patch(base.version, *operations, force=True), 1.0)
    assert isinstance(outcome, NumberedConfiguration), outcome
    return outcome


def apply_rejected(base: NumberedConfiguration, *operations: dict[str, object]) -> PatchRejected:
    """Return the rejection of an unforced patch that must be rejected."""
    outcome = apply_patch(base, patch(base.version, *operations), 1.0)
    assert isinstance(outcome, PatchRejected)
    return outcome


BASE = apply_accepted(EMPTY_CONFIGURATION, *base_operations())

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


def patch_full_document(body: Configuration, operations: list[dict[str, object]]) -> object:
    """Apply a patch to the full document, as a reference for patching an excerpt."""
    document = msgspec.to_builtins(body)
    return jsonpatch.JsonPatch(copy.deepcopy(operations)).apply(document)


@PROPERTY_SETTINGS
@given(st.lists(OPERATIONS, max_size=4))
def test_patching_an_excerpt_equals_patching_the_full_document(
    operations: list[dict[str, object]],
) -> None:
    """An excerpt that lacks an entry the patch references would change the outcome."""
    outcome = apply_patch(BASE, patch(1, *operations, force=True), 1.0)
    try:
        document = patch_full_document(BASE.body, operations)
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


@PROPERTY_SETTINGS
@given(st.binary(max_size=60) | st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
        st.sampled_from(["op", "path", "from", "value", "x"]), inner, max_size=4),
).map(lambda value: json.dumps(value).encode()))  # fmt: skip
def test_malformed_patch_body_is_rejected_without_an_exception(body: bytes) -> None:
    """A malformed body must not raise out of ``apply_patch``, which would fail the request."""
    outcome = apply_patch(BASE, PatchRequest(1, body, "a", "r", "o"), 1.0)
    assert isinstance(outcome, PatchRejected) or outcome.version == 2


def test_deeply_nested_patch_is_rejected() -> None:
    """The JSON decoder raises RecursionError on such a body; it must become a rejection."""
    body = b'[{"op":"add","path":"/x","value":' + b"[" * 100_000 + b"]" * 100_000 + b"}]"
    assert isinstance(apply_patch(BASE, PatchRequest(1, body, "a", "r", "o"), 1.0), PatchRejected)


@PROPERTY_SETTINGS
@given(st.lists(st.tuples(st.integers(0, 40), st.booleans(), st.integers(0, 3)), max_size=30))
def test_incremental_digest_equals_digest_of_the_document_built_at_once(
    steps: list[tuple[int, bool, int]],
) -> None:
    """VMs reach a version by different changes or snapshots; their digests must agree."""
    document, entries = Document.from_entries({}), {}
    for number, is_put, value in steps:
        pointer, text = f"/targets/t{number}", str(value).encode()
        if is_put:
            document = document.with_delta(Delta({pointer: text}))
            entries[pointer] = text
        else:
            document = document.with_delta(Delta({}, (pointer,)))
            entries.pop(pointer, None)
    assert document.digest() == Document.from_entries(entries).digest()
    assert dict(document.entries()) == entries


def test_each_fault_is_reported_with_its_path() -> None:
    outcome = apply_rejected(
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


def test_out_of_range_values_and_unknown_references_are_rejected() -> None:
    outcome = apply_rejected(
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
def test_dangerous_patch_is_rejected_unless_forced(
    operations: list[dict[str, object]], path: str
) -> None:
    """Without this check, one mistaken patch could remove all capacity or lock out operators."""
    outcome = apply_rejected(BASE, *operations)
    assert outcome.reason == "dangerous"
    assert path in {fault.path for fault in outcome.faults}
    assert apply_accepted(BASE, *operations).version == 2


def test_draining_one_of_several_targets_is_not_dangerous() -> None:
    outcome = apply_patch(BASE, patch(1, DRAIN[0]), 1.0)
    assert isinstance(outcome, NumberedConfiguration)


def change_record(record: NumberedConfiguration) -> ChangeRecord:
    """Return the decoded change that produced a configuration."""
    stored = decode_stored_record(record.change)
    assert isinstance(stored, ChangeRecord)
    return stored


def test_change_and_snapshot_reproduce_the_configuration() -> None:
    second = apply_accepted(BASE, add_zone("new"))
    assert apply_change(BASE, change_record(second)) == second
    assert decode_and_verify(encode_snapshot(second)) == second


@pytest.mark.parametrize("original", [b'"10.0.0.1:80"', b'"author":"ann"', b'"version":2'])
def test_tampered_change_is_rejected(original: bytes) -> None:
    """Altered contents, metadata or version break the hash chain, here or at the next change."""
    target = {"service": "model", "zone": "z", "address": "10.0.0.1:80"}
    second = apply_accepted(BASE, add("/targets/new", target))
    third = apply_accepted(second, add_zone("y"))
    tampered = original.replace(b"0.0.1", b"9.9.9").replace(b"ann", b"eve").replace(b"2", b"3")
    forged = decode_stored_record(second.change.replace(original, tampered))
    assert isinstance(forged, ChangeRecord)
    with pytest.raises(ProtocolError):
        apply_change(apply_change(BASE, forged), change_record(third))


@PROPERTY_SETTINGS
@given(st.binary(max_size=80), st.integers(0, 10_000), st.integers(0, 255))
def test_corrupt_record_is_rejected_or_keeps_its_contents(
    random_data: bytes, position: int, byte: int
) -> None:
    """A corrupted record from a peer or the store must not change the configuration's contents."""
    for source in (encode_snapshot(BASE), BASE.change):
        mutated = bytearray(source)
        mutated[position % len(mutated)] = byte
        for data in (random_data, bytes(mutated)):
            try:
                record = decode_and_verify(data)
            except ProtocolError:
                continue
            assert record.document.digest() == BASE.document.digest()


def configuration_of_newer_release(record: NumberedConfiguration) -> NumberedConfiguration:
    """Return a configuration with fields, sections and a service kind that a newer release adds."""
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


def test_unknown_data_of_a_newer_release_is_ignored_but_preserved() -> None:
    """During an upgrade, an older VM must neither fail on unknown data nor drop it."""
    newer = apply_change(BASE, change_record(configuration_of_newer_release(BASE)))
    assert newer.body.targets["t0"].address == "10.0.0.9:80"
    assert "fancy" not in newer.body.services
    assert "f0" not in newer.body.targets
    reloaded = decode_and_verify(encode_snapshot(newer))
    assert reloaded.document.get("/novelties") == b'{"a":1}'
    # A patch that this release applies preserves entries that it does not know.
    third = apply_accepted(reloaded, add_zone("new"))
    assert third.document.get("/services/fancy") == b'{"kind":"quantum"}'


def test_head_with_fields_of_a_newer_release_keeps_its_digest() -> None:
    """Re-encoding the head without the unknown field would break the hash chain."""
    raw_head = BASE.head.replace(b'"forced":true', b'"forced":true,"ticket":"T-1"')
    record = ChangeRecord(
        head=msgspec.Raw(raw_head),
        put={key: msgspec.Raw(value) for key, value in encode_document(BASE.body).entries()},
    )
    assert isinstance(decode_stored_record(msgspec.json.encode(record)), ChangeRecord)
    stored = decode_stored_record(BASE.change.replace(BASE.head, raw_head))
    assert isinstance(stored, ChangeRecord)
    opened = apply_change(EMPTY_CONFIGURATION, stored)
    assert opened.digest != BASE.digest
    assert (
        apply_change(EMPTY_CONFIGURATION, decode_stored_record(opened.change)).digest
        == opened.digest
    )  # type: ignore[arg-type]

"""Tests of accepted, stale and invalid patches to an empty configuration."""

import msgspec

from balsamcleat.configuration import (
    EMPTY_CONFIGURATION,
    NumberedConfiguration,
    PatchRejected,
    PatchRequest,
    apply_patch,
    decode_and_verify,
    encode_snapshot,
)


def make_request(base_version: int, *operations: dict[str, object]) -> PatchRequest:
    return PatchRequest(base_version, msgspec.json.encode(operations), "ann", "because", "op-1")


def test_accepted_patch_produces_the_next_version() -> None:
    outcome = apply_patch(
        EMPTY_CONFIGURATION,
        make_request(0, {"op": "add", "path": "/zones/a", "value": {"region": "r"}}),
        1.0,
    )
    assert isinstance(outcome, NumberedConfiguration)
    assert outcome.version == 1
    assert decode_and_verify(encode_snapshot(outcome)) == outcome


def test_patch_against_another_version_is_rejected_as_stale() -> None:
    outcome = apply_patch(EMPTY_CONFIGURATION, make_request(3), 1.0)
    assert isinstance(outcome, PatchRejected)
    assert outcome.reason == "stale"


def test_patch_with_a_dangling_reference_is_rejected_with_its_path() -> None:
    target = {"service": "none", "zone": "none", "address": "127.0.0.1:1"}
    outcome = apply_patch(
        EMPTY_CONFIGURATION,
        make_request(0, {"op": "add", "path": "/targets/t", "value": target}),
        1.0,
    )
    assert isinstance(outcome, PatchRejected)
    assert {fault.path for fault in outcome.faults} == {"/targets/t/service", "/targets/t/zone"}

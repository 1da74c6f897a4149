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


def request(base: int, *operations: dict[str, object]) -> PatchRequest:
    return PatchRequest(base, msgspec.json.encode(operations), "ann", "because", "op-1")


def test_a_patch_becomes_the_next_number() -> None:
    made = apply_patch(
        EMPTY_CONFIGURATION,
        request(0, {"op": "add", "path": "/zones/a", "value": {"region": "r"}}),
        1.0,
    )
    assert isinstance(made, NumberedConfiguration)
    assert made.version == 1
    assert decode_and_verify(encode_snapshot(made)) == made


def test_a_stale_patch_is_refused() -> None:
    made = apply_patch(EMPTY_CONFIGURATION, request(3), 1.0)
    assert isinstance(made, PatchRejected)
    assert made.reason == "stale"


def test_a_patch_with_a_dangling_reference_is_refused_with_its_path() -> None:
    target = {"service": "none", "zone": "none", "address": "127.0.0.1:1"}
    made = apply_patch(
        EMPTY_CONFIGURATION, request(0, {"op": "add", "path": "/targets/t", "value": target}), 1.0
    )
    assert isinstance(made, PatchRejected)
    assert {fault.path for fault in made.faults} == {"/targets/t/service", "/targets/t/zone"}

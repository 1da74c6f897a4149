"""Peer messages are authenticated, bound to their request, and rejected if replayed or invalid."""

import base64
import contextlib
import json
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamcleat.adapters import peer_codec
from balsamcleat.adapters.key_ring import KeyRing
from balsamcleat.adapters.peer_seal import HmacSeal, ReplayGuard
from balsamcleat.adapters.system import SystemClock
from balsamcleat.errors import InvalidInputError, ProtocolError
from balsamcleat.model import ConfigurationVersion, Member, MemberStatus, VmId, ZoneName
from balsamcleat.model.peer import (
    ConfigurationDigest,
    ForwardReply,
    Heartbeat,
    HeartbeatAck,
    IndirectProbe,
    Notice,
    PeerMessage,
    SyncReply,
    SyncRequest,
    ZoneSummary,
)

OLD, NEW = bytes(32), bytes(range(32))
MEMBER = Member(VmId("b"), ZoneName("z"), "127.0.0.1:1", 3, MemberStatus.SUSPECT)
DIGEST = ConfigurationDigest(ConfigurationVersion(5), "d")
SUMMARY = ZoneSummary(ZoneName("z"), 12, 3, b"load")
BODIES = [
    Heartbeat(4, (MEMBER,), DIGEST, (SUMMARY,)),
    HeartbeatAck(4, (MEMBER, MEMBER), DIGEST),
    IndirectProbe(7, "c"),
    SyncRequest((MEMBER,)),
    SyncReply(()),
    Notice("poisoned", b"x"),
    ForwardReply(b"", "no"),
]


class ShiftedClock(SystemClock):
    """Wall clock that the test sets."""

    shift_s = 0.0

    def wall_s(self) -> float:
        return 1e9 + self.shift_s


def seal(keys: dict[int, bytes]) -> HmacSeal:
    return HmacSeal(KeyRing(keys), ShiftedClock())


@pytest.mark.parametrize("body", BODIES)
def test_every_message_is_decoded_as_it_was_encoded(body: object) -> None:
    message = PeerMessage(VmId("a"), 1, 2, body)  # type: ignore[arg-type]
    assert peer_codec.decode(peer_codec.encode(message)) == message


def test_message_without_the_key_is_rejected() -> None:
    with pytest.raises(ProtocolError):
        seal({1: OLD}).open(seal({1: NEW}).seal(b"data"))
    with pytest.raises(ProtocolError):
        seal({1: OLD}).open(b"data")


def test_changed_message_is_rejected() -> None:
    sealed = bytearray(seal({1: OLD}).seal(b"data"))
    for position in range(len(sealed)):
        changed = bytearray(sealed)
        changed[position] ^= 1
        with pytest.raises(ProtocolError):
            seal({1: OLD}).open(bytes(changed))


def test_reply_to_another_request_is_rejected() -> None:
    sealed = seal({1: OLD}).seal(b"reply", b"request 1")
    assert seal({1: OLD}).open(sealed, b"request 1") == b"reply"
    with pytest.raises(ProtocolError):
        seal({1: OLD}).open(sealed, b"request 2")


def test_message_sealed_at_another_time_is_rejected() -> None:
    receiver = seal({1: OLD})
    sealed = seal({1: OLD}).seal(b"data")
    receiver.clock.shift_s = 301.0  # type: ignore[attr-defined]
    with pytest.raises(ProtocolError):
        receiver.open(sealed)


def test_key_rotation_rejects_no_message() -> None:
    before, both, after = {1: OLD}, {2: NEW, 1: OLD}, {2: NEW}
    also = {1: OLD, 2: NEW}
    for sender, receiver in [(before, also), (also, before), (also, both), (both, after)]:
        assert seal(receiver).open(seal(sender).seal(b"data")) == b"data"


def test_key_file_is_reloaded_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "keys.json"
    key = {"key_id": 1, "secret": base64.b64encode(OLD).decode()}
    path.write_text(json.dumps({"keys": [key]}))
    ring = KeyRing.from_file(path)
    assert ring.signing_key() == (1, OLD)
    path.write_text(json.dumps({"keys": [{"key_id": 2, "secret": "c2hvcnQ="}]}))
    os.utime(path, ns=(1, 1))
    with pytest.raises(InvalidInputError) as caught:
        ring.reload()
    assert "c2hvcnQ" not in str(caught.value)
    assert ring.signing_key() == (1, OLD)


def message(sequence: int, incarnation: int = 1) -> PeerMessage:
    return PeerMessage(VmId("a"), incarnation, sequence, IndirectProbe(1, "b"))


def test_replayed_message_is_rejected_in_any_order() -> None:
    guard = ReplayGuard()
    for sequence in (5, 3, 4, 9, 8):
        assert guard.record_if_new(message(sequence))
        assert not guard.record_if_new(message(sequence))
    assert guard.record_if_new(message(9 + 1024))
    assert not guard.record_if_new(message(7))
    assert guard.record_if_new(message(1, incarnation=2))
    assert not guard.record_if_new(message(2000, incarnation=1))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_decoder_raises_only_protocol_errors(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        peer_codec.decode(data)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    st.sampled_from(BODIES),
    st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), min_size=1, max_size=4),
    st.integers(0, 64),
)
def test_decoder_of_damaged_messages_raises_only_protocol_errors(
    body: object, changes: list[tuple[int, int]], cut: int
) -> None:
    data = bytearray(peer_codec.encode(PeerMessage(VmId("a"), 1, 2, body)))  # type: ignore[arg-type]
    for position, value in changes:
        data[position % len(data)] = value
    with contextlib.suppress(ProtocolError):
        peer_codec.decode(bytes(data[: len(data) - cut]))

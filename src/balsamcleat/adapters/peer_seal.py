"""Authentication of peer messages and rejection of replayed ones."""

import hashlib
import hmac
import struct
from abc import ABC, abstractmethod

from balsamcleat.adapters.key_ring import KeyRing
from balsamcleat.errors import ProtocolError
from balsamcleat.model import VmId
from balsamcleat.model.peer import PeerMessage
from balsamcleat.ports import Clock

__all__ = ["HmacSeal", "NoSeal", "ReplayGuard", "Seal"]

MAC_BYTES = 16
# Format, key id, time of sealing in milliseconds since the Unix epoch.
HEADER = struct.Struct(">BIQ")
SEAL_FORMAT = 1
# Sealed messages older or newer than this are rejected. A restarted VM knows no sequence numbers,
# so this limits the messages that can be replayed to it.
MAX_CLOCK_DIFFERENCE_S = 300.0
REPLAY_WINDOW = 1024


class Seal(ABC):
    """Seals encoded messages, and opens sealed ones."""

    @abstractmethod
    def seal(self, data: bytes, context: bytes = b"") -> bytes:
        """Return the sealed message; ``context`` binds a reply to its request."""

    @abstractmethod
    def open(self, sealed: bytes, context: bytes = b"") -> bytes:
        """Return the message in a sealed one.

        Raises:
            ProtocolError: The message was not sealed by a peer for this context, or not recently.
        """


class NoSeal(Seal):
    """Leaves messages unchanged, for loopback and tests."""

    def seal(self, data: bytes, context: bytes = b"") -> bytes:
        """Return the message itself."""
        return data

    def open(self, sealed: bytes, context: bytes = b"") -> bytes:
        """Return the message itself."""
        return sealed


class HmacSeal(Seal):
    """Authenticates messages with a shared key (HMAC-SHA-256, truncated to 16 bytes).

    Args:
        keys: Shared keys.
        clock: Source of wall-clock time, which is compared with a wide margin.
    """

    def __init__(self, keys: KeyRing, clock: Clock) -> None:
        self.keys = keys
        self.clock = clock

    def seal(self, data: bytes, context: bytes = b"") -> bytes:
        """Return the header, the authentication code and the message."""
        key_id, secret = self.keys.signing_key()
        header = HEADER.pack(SEAL_FORMAT, key_id, int(self.clock.wall_s() * 1000))
        return header + self.authentication_code(secret, header, context, data) + data

    def open(self, sealed: bytes, context: bytes = b"") -> bytes:
        """Check the authentication code and the time, and return the message."""
        start = HEADER.size + MAC_BYTES
        if len(sealed) < start:
            raise ProtocolError("the sealed message is too short", step="peer.open")
        header, code, data = sealed[: HEADER.size], sealed[HEADER.size : start], sealed[start:]
        seal_format, key_id, sealed_at_ms = HEADER.unpack(header)
        secret = self.keys.secret(key_id)
        if seal_format != SEAL_FORMAT or secret is None:
            raise ProtocolError(f"key {key_id} is not known", step="peer.open")
        if not hmac.compare_digest(code, self.authentication_code(secret, header, context, data)):
            raise ProtocolError("the code does not fit the message", step="peer.open")
        if abs(self.clock.wall_s() - sealed_at_ms / 1000) > MAX_CLOCK_DIFFERENCE_S:
            raise ProtocolError("the message is from another time", step="peer.open")
        return data

    def authentication_code(
        self, secret: bytes, header: bytes, context: bytes, data: bytes
    ) -> bytes:
        """Return the authentication code of a message."""
        material = header + struct.pack(">I", len(context)) + context + data
        return hmac.digest(secret, material, hashlib.sha256)[:MAC_BYTES]


class ReplayGuard:
    """Rejects replayed messages, by the sender's incarnation and sequence numbers."""

    def __init__(self) -> None:
        self.windows: dict[VmId, tuple[int, int, int]] = {}

    def record_if_new(self, message: PeerMessage) -> bool:
        """Return whether a message is new, and record it."""
        incarnation, highest, seen = self.windows.get(message.sender, (-1, 0, 0))
        if message.incarnation < incarnation:
            return False
        if message.incarnation > incarnation:
            self.windows[message.sender] = (message.incarnation, message.sequence, 1)
            return True
        ahead = message.sequence - highest
        if ahead > 0:
            # Bit 0 is the highest sequence number received, bit n the number n below it.
            kept = (seen << min(ahead, REPLAY_WINDOW)) & ((1 << REPLAY_WINDOW) - 1)
            self.windows[message.sender] = (incarnation, message.sequence, kept | 1)
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or seen & bit:
            return False
        self.windows[message.sender] = (incarnation, highest, seen | bit)
        return True

"""Shared keys of the peers, reloaded when their file changes."""

import base64
import binascii
from pathlib import Path

import anyio
import msgspec
import structlog

from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError

__all__ = ["KEY_BYTES", "KeyRing", "PeerKey"]

KEY_BYTES = 32
KEY_ID_BYTES = 4
RELOAD_INTERVAL_S = 5.0

log = structlog.get_logger()


class PeerKey(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shared key.

    Attributes:
        key_id: Id of the key in messages, from 0 to 2**32 - 1.
        secret: Secret of 32 bytes, encoded in base64.
    """

    key_id: int
    secret: str

    def __repr__(self) -> str:
        return f"PeerKey(key_id={self.key_id}, secret=hidden)"


class KeyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of the key file; the first key signs, and all are accepted."""

    keys: tuple[PeerKey, ...]


class KeyRing:
    """Keys in force; a rotation adds a key on all VMs and then moves it to the front.

    Args:
        keys: Secrets by key id, the signing key first.
        path: File from which the keys are reloaded, or None.
    """

    def __init__(self, keys: dict[int, bytes], path: Path | None = None) -> None:
        self.keys = keys
        self.path = path
        self.loaded_mtime_ns = 0

    @classmethod
    def from_file(cls, path: Path) -> "KeyRing":
        """Return the key ring in a file.

        Raises:
            InvalidInputError: The file can't be read or holds no valid key.
        """
        ring = cls({}, path)
        ring.reload()
        return ring

    def signing_key(self) -> tuple[int, bytes]:
        """Return the id and the secret of the key that signs."""
        return next(iter(self.keys.items()))

    def secret(self, key_id: int) -> bytes | None:
        """Return the secret of a key, or None if the key is unknown."""
        return self.keys.get(key_id)

    def reload(self) -> bool:
        """Reload the file if it changed; return whether it did.

        Raises:
            InvalidInputError: The file can't be read or has no valid key; the old keys stay.
        """
        if self.path is None:
            return False
        try:
            mtime_ns = self.path.stat().st_mtime_ns
            if mtime_ns == self.loaded_mtime_ns:
                return False
            document = decode_json(self.path.read_bytes(), KeyFile)
        except OSError as error:
            raise InvalidInputError(
                f"can't read the key file: {error}", step="keys.read"
            ) from error
        except msgspec.DecodeError as error:
            raise InvalidInputError(f"{self.path}: {error}", step="keys.check") from error
        self.keys = {key.key_id: decode_secret(key) for key in document.keys}
        if not self.keys:
            raise InvalidInputError(f"{self.path} holds no key", step="keys.check")
        self.loaded_mtime_ns = mtime_ns
        return True

    async def run(self) -> None:
        """Reload a changed file at intervals until cancelled."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            try:
                if self.reload():
                    log.info("peer keys reloaded", key_ids=list(self.keys))
            except InvalidInputError as error:
                log.warning("peer keys not reloaded", problem=error.message)


def decode_secret(key: PeerKey) -> bytes:
    """Return the secret of a key.

    Raises:
        InvalidInputError: The secret is not 32 bytes in base64; the message does not contain it.
    """
    try:
        secret = base64.b64decode(key.secret, validate=True)
    except binascii.Error as error:
        raise InvalidInputError(
            f"key {key.key_id}: secret is not base64", step="keys.check"
        ) from error
    if len(secret) != KEY_BYTES:
        raise InvalidInputError(
            f"key {key.key_id}: secret has {len(secret)} bytes instead of {KEY_BYTES}",
            step="keys.check",
        )
    return secret

"""Digests of the keys with which teams authenticate, and the lookup of a key's holder by them."""

import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

from balsamcleat.model.ids import KeyDigest

__all__ = ["KeyIndex", "bearer_key_digest", "key_digest", "loggable_digest"]

LOGGED_DIGITS = 8

Holder = TypeVar("Holder")


def key_digest(key: str) -> KeyDigest:
    """Return the SHA-256 digest of a key, in lower-case hexadecimal digits."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def bearer_key_digest(authorization: str | None) -> KeyDigest | None:
    """Return the digest of the bearer key in an ``Authorization`` header, or None without a key.

    Args:
        authorization: Value of the header, if the request has one.
    """
    scheme, _, key = (authorization or "").strip().partition(" ")
    key = key.strip()
    return key_digest(key) if scheme.lower() == "bearer" and key else None


def loggable_digest(digest: KeyDigest | None) -> str:
    """Return the part of a digest that may be logged; empty if there is no key."""
    return (digest or "")[:LOGGED_DIGITS]


class KeyIndex(Generic[Holder]):
    """Finds the holder of a key by the key's digest; the keys themselves are not stored.

    A lookup by digest, unlike a comparison of keys, tells nothing about the keys by its duration.

    Args:
        holders: Holders with the digests of their keys. A digest that is listed twice belongs to
            the last holder.
    """

    def __init__(self, holders: Iterable[tuple[Holder, Iterable[str]]] = ()) -> None:
        self.holders: dict[str, Holder] = {}
        for holder, digests in holders:
            for digest in digests:
                self.holders[digest.lower()] = holder

    def find(self, digest: KeyDigest | None) -> Holder | None:
        """Return the holder of the key with a digest, or None if there is none."""
        return None if digest is None else self.holders.get(digest)

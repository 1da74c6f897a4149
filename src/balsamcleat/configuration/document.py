"""Configuration document: JSON entries by JSON pointer, with an incrementally updated digest."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import xxhash

__all__ = ["EMPTY_DOCUMENT", "Delta", "Document", "entry_pointer", "escape_token", "split_pointer"]

BUCKETS = 256


def escape_token(token: str) -> str:
    """Return a name escaped as a JSON pointer token (RFC 6901)."""
    return token.replace("~", "~0").replace("/", "~1")


def unescape_token(token: str) -> str:
    """Return the name encoded in a JSON pointer token."""
    return token.replace("~1", "/").replace("~0", "~")


def entry_pointer(section: str, name: str | None = None) -> str:
    """Return the JSON pointer of an entry; ``name`` is None if the section is not a map."""
    return (
        f"/{escape_token(section)}"
        if name is None
        else f"/{escape_token(section)}/{escape_token(name)}"
    )


def split_pointer(pointer: str) -> tuple[str, ...]:
    """Return the unescaped tokens of a JSON pointer."""
    return tuple(unescape_token(token) for token in pointer.split("/")[1:])


@dataclass(frozen=True, slots=True)
class Delta:
    """Entries that a change writes or removes, by JSON pointer; values are JSON text."""

    put: Mapping[str, bytes]
    removed: tuple[str, ...] = ()

    def pointers(self) -> tuple[str, ...]:
        """Return the JSON pointers of all written and removed entries."""
        return (*self.put, *self.removed)


class Document:
    """Immutable map from JSON pointer to entry, in hash buckets that versions share.

    The digest is a hash tree of two levels: a change rehashes only the buckets that it modifies and
    the list of bucket digests, which is some kilobytes; hashing the whole document would process
    megabytes.

    Args:
        buckets: The entries of each bucket, by JSON pointer.
        digests: The digest of each bucket.
    """

    __slots__ = ("buckets", "digests")

    def __init__(self, buckets: tuple[dict[str, bytes], ...], digests: tuple[bytes, ...]) -> None:
        self.buckets = buckets
        self.digests = digests

    @classmethod
    def from_entries(cls, entries: Mapping[str, bytes]) -> "Document":
        """Return a document with the given entries."""
        return EMPTY_DOCUMENT.with_delta(Delta(entries))

    def get(self, pointer: str) -> bytes | None:
        """Return the JSON text of an entry, or None if the entry does not exist."""
        return self.buckets[bucket_index(pointer)].get(pointer)

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Yield all entries in unspecified order."""
        for bucket in self.buckets:
            yield from bucket.items()

    def with_delta(self, delta: Delta) -> "Document":
        """Return the document after a change; removing an absent entry has no effect."""
        modified_buckets: dict[int, dict[str, bytes]] = {}

        def modified_bucket(pointer: str) -> dict[str, bytes]:
            index = bucket_index(pointer)
            return modified_buckets.setdefault(index, self.buckets[index].copy())

        for pointer, value in delta.put.items():
            modified_bucket(pointer)[pointer] = value
        for pointer in delta.removed:
            modified_bucket(pointer).pop(pointer, None)
        buckets, digests = list(self.buckets), list(self.digests)
        for index, entries in modified_buckets.items():
            buckets[index] = entries
            digests[index] = bucket_digest(entries)
        return Document(tuple(buckets), tuple(digests))

    def digest(self) -> str:
        """Return the hex digest of all entries."""
        return hashlib.sha256(b"".join(self.digests)).hexdigest()

    def delta_to(self, other: "Document") -> Delta:
        """Return the change that turns this document into the other one."""
        put: dict[str, bytes] = {}
        removed: list[str] = []
        for index, (old_entries, new_entries) in enumerate(
            zip(self.buckets, other.buckets, strict=True)
        ):
            if self.digests[index] == other.digests[index]:
                continue
            put |= {
                key: value for key, value in new_entries.items() if old_entries.get(key) != value
            }
            removed += [key for key in old_entries if key not in new_entries]
        return Delta(put, tuple(sorted(removed)))


def bucket_index(pointer: str) -> int:
    """Return the index of the bucket that holds an entry."""
    return xxhash.xxh3_64_intdigest(pointer.encode()) % BUCKETS


def bucket_digest(entries: Mapping[str, bytes]) -> bytes:
    """Return the digest of a bucket; length prefixes make the encoding of entries unambiguous."""
    digest = hashlib.sha256()
    for pointer in sorted(entries):
        name, value = pointer.encode(), entries[pointer]
        digest.update(len(name).to_bytes(4, "big") + name + len(value).to_bytes(4, "big") + value)
    return digest.digest()


EMPTY_DOCUMENT = Document(tuple({} for _ in range(BUCKETS)), (bucket_digest({}),) * BUCKETS)

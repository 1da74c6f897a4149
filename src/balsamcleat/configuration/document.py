"""The configuration as entries of JSON text with a digest that is cheap to bring up to date."""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import xxhash

__all__ = ["EMPTY_DOCUMENT", "Delta", "Document", "entry_pointer", "escape_token", "split_pointer"]

BUCKETS = 256


def escape_token(token: str) -> str:
    """Return a name as a token of a JSON pointer."""
    return token.replace("~", "~0").replace("/", "~1")


def unescape_token(token: str) -> str:
    """Return the name that a token of a JSON pointer stands for."""
    return token.replace("~1", "/").replace("~0", "~")


def entry_pointer(section: str, name: str | None = None) -> str:
    """Return the JSON pointer of an entry; ``name`` is None for a section that is no map."""
    return (
        f"/{escape_token(section)}"
        if name is None
        else f"/{escape_token(section)}/{escape_token(name)}"
    )


def split_pointer(pointer: str) -> tuple[str, ...]:
    """Return the names in a JSON pointer."""
    return tuple(unescape_token(token) for token in pointer.split("/")[1:])


@dataclass(frozen=True, slots=True)
class Delta:
    """Entries that a change writes or removes, by JSON pointer; values are JSON text."""

    put: Mapping[str, bytes]
    removed: tuple[str, ...] = ()

    def pointers(self) -> tuple[str, ...]:
        """Return the pointers of all entries it touches."""
        return (*self.put, *self.removed)


class Document:
    """Entries by JSON pointer, kept in buckets that versions share.

    The digest is a tree of two levels: a change hashes its own buckets and the list of bucket
    digests, some kilobytes, where hashing the whole would take megabytes.

    Args:
        buckets: The entries, each in the bucket of its pointer.
        digests: The digest of each bucket.
    """

    __slots__ = ("buckets", "digests")

    def __init__(self, buckets: tuple[dict[str, bytes], ...], digests: tuple[bytes, ...]) -> None:
        self.buckets = buckets
        self.digests = digests

    @classmethod
    def from_entries(cls, entries: Mapping[str, bytes]) -> "Document":
        """Return the document with these entries."""
        return EMPTY_DOCUMENT.with_delta(Delta(entries))

    def get(self, pointer: str) -> bytes | None:
        """Return an entry's JSON text, or None when there is none."""
        return self.buckets[bucket_index(pointer)].get(pointer)

    def entries(self) -> Iterator[tuple[str, bytes]]:
        """Return all entries, in no order that means anything."""
        for bucket in self.buckets:
            yield from bucket.items()

    def with_delta(self, delta: Delta) -> "Document":
        """Return the document after a change; removing what is not there changes nothing."""
        fresh: dict[int, dict[str, bytes]] = {}

        def bucket(pointer: str) -> dict[str, bytes]:
            number = bucket_index(pointer)
            return fresh.setdefault(number, self.buckets[number].copy())

        for pointer, value in delta.put.items():
            bucket(pointer)[pointer] = value
        for pointer in delta.removed:
            bucket(pointer).pop(pointer, None)
        buckets, digests = list(self.buckets), list(self.digests)
        for number, entries in fresh.items():
            buckets[number] = entries
            digests[number] = bucket_digest(entries)
        return Document(tuple(buckets), tuple(digests))

    def digest(self) -> str:
        """Return the hex digest of all entries."""
        return hashlib.sha256(b"".join(self.digests)).hexdigest()

    def delta_to(self, other: "Document") -> Delta:
        """Return the change that leads from this document to the other."""
        put: dict[str, bytes] = {}
        removed: list[str] = []
        for number, (mine, theirs) in enumerate(zip(self.buckets, other.buckets, strict=True)):
            if self.digests[number] == other.digests[number]:
                continue
            put |= {key: value for key, value in theirs.items() if mine.get(key) != value}
            removed += [key for key in mine if key not in theirs]
        return Delta(put, tuple(sorted(removed)))


def bucket_index(pointer: str) -> int:
    """Return the bucket of an entry."""
    return xxhash.xxh3_64_intdigest(pointer.encode()) % BUCKETS


def bucket_digest(entries: Mapping[str, bytes]) -> bytes:
    """Return the digest of a bucket; lengths keep entries apart."""
    digest = hashlib.sha256()
    for pointer in sorted(entries):
        name, value = pointer.encode(), entries[pointer]
        digest.update(len(name).to_bytes(4, "big") + name + len(value).to_bytes(4, "big") + value)
    return digest.digest()


EMPTY_DOCUMENT = Document(tuple({} for _ in range(BUCKETS)), (bucket_digest({}),) * BUCKETS)

"""Values of which each is stored as one or more rows, because the store limits a row's size."""

import re
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
import structlog

from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import ProtocolError
from balsamcleat.ports.rows import RowChange, RowKey, RowWrite

__all__ = ["ValueRows", "decode_pieces", "decode_value", "encode_value", "value_writes"]

ZLIB_LEVEL = 1
# Key of a row that holds a piece of a value: the value's name, the row's number, the row count.
PIECE_KEY = re.compile(r"(?P<name>.*)\.(?P<number>[0-9]{4,})\.(?P<count>[0-9]{4,})", re.DOTALL)

log = structlog.get_logger()

Stored = TypeVar("Stored")


@dataclass(frozen=True, slots=True)
class ValueKey:
    """Name and number of rows of a value; values of one name that differ in size stand apart."""

    name: str
    row_count: int


@dataclass(slots=True)
class ValueRows:
    """Rows of the values in one part of a table, collected page by page.

    Attributes:
        pieces: Contents of the rows read so far, by value.
    """

    pieces: dict[ValueKey, list[bytes]] = field(default_factory=dict)

    def add(self, rows: Iterable[RowChange]) -> None:
        """Add the rows of a page; a row with another form of key is ignored and logged."""
        for row in rows:
            key = row.key
            piece = PIECE_KEY.fullmatch(key.key)
            if piece is None:
                log.warning("row ignored", table=key.table, part=key.part, key=key.key)
                continue
            value_key = ValueKey(piece["name"], int(piece["count"]))
            self.pieces.setdefault(value_key, []).append(row.value or b"")

    def complete_keys(self) -> list[ValueKey]:
        """Return the values of which all rows were added.

        Two values of one name, both with all rows, are left out: nothing says which one counts.
        """
        whole = [key for key, pieces in self.pieces.items() if len(pieces) == key.row_count]
        counts = Counter(key.name for key in whole)
        return [key for key in whole if counts[key.name] == 1]

    def complete(self) -> dict[str, bytes]:
        """Return the contents of the values of which all rows were added, by name."""
        return {key.name: b"".join(self.pieces[key]) for key in self.complete_keys()}

    def take(self, name: str) -> list[bytes] | None:
        """Remove a value of which all rows were added; return its pieces, or None without one."""
        key = next((key for key in self.complete_keys() if key.name == name), None)
        return None if key is None else self.pieces.pop(key)

    def expected_rows(self) -> int:
        """Return the largest number of rows that any of the values has."""
        return max((key.row_count for key in self.pieces), default=0)

    def incomplete_names(self) -> set[str]:
        """Return the names of the values that can't be joined."""
        return {key.name for key in self.pieces} - {key.name for key in self.complete_keys()}

    def log_incomplete(self, table: str, part: str) -> None:
        """Log the rows of values that can't be joined."""
        names = self.incomplete_names()
        for key, pieces in self.pieces.items():
            if key.name in names:
                log.warning(
                    "value incomplete",
                    table=table,
                    part=part,
                    key=key.name,
                    rows=len(pieces),
                    expected=key.row_count,
                )


def value_writes(
    table: str, part: str, name: str, value: bytes, max_row_bytes: int
) -> list[RowWrite]:
    """Return the writes of a value split into rows; the keys hold row number and row count."""
    pieces = [value[at : at + max_row_bytes] for at in range(0, len(value), max_row_bytes)] or [b""]
    return [
        RowWrite(RowKey(table, part, f"{name}.{number:04d}.{len(pieces):04d}"), piece)
        for number, piece in enumerate(pieces)
    ]


def encode_value(value: object) -> bytes:
    """Return the stored form of a value: compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(value), ZLIB_LEVEL)


def decode_value(packed: bytes, value_type: type[Stored]) -> Stored:
    """Decode a stored value.

    Raises:
        ProtocolError: The value cannot be decoded.
    """
    return decode_pieces([packed], value_type)


def decode_pieces(pieces: list[bytes], value_type: type[Stored]) -> Stored:
    """Decode a stored value that may be large.

    Args:
        pieces: Pieces of the value in their order; each is removed once it was unpacked.
        value_type: Type of the value.

    Raises:
        ProtocolError: The value cannot be decoded.
    """
    try:
        return decode_msgpack(unpack(pieces), value_type)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ProtocolError(f"unreadable record: {error}", step="records.decode") from error


def unpack(pieces: list[bytes]) -> bytearray:
    """Return the decompressed contents of pieces, which are removed one after the other.

    Raises:
        zlib.error: The pieces can't be decompressed.
    """
    decompressor = zlib.decompressobj()
    unpacked = bytearray()
    pieces.reverse()
    while pieces:
        unpacked += decompressor.decompress(pieces.pop())
    unpacked += decompressor.flush()
    if not decompressor.eof:
        raise zlib.error("the value is incomplete")
    return unpacked

"""Values of which each is stored as one or more rows, because the store limits a row's size."""

import re
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
import structlog

from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import ProtocolError
from balsamcleat.ports.rows import RowChange, RowKey, RowWrite

__all__ = ["ValueRows", "decode_value", "encode_value", "value_writes"]

ZLIB_LEVEL = 1
# Key of a row that holds a piece of a value: the value's name, the row's number, the row count.
PIECE_KEY = re.compile(r"(?P<name>.*)\.(?P<number>[0-9]{4,})\.(?P<count>[0-9]{4,})", re.DOTALL)

log = structlog.get_logger()

Stored = TypeVar("Stored")


@dataclass(slots=True)
class ValueRows:
    """Rows of the values in one part of a table, collected page by page.

    Attributes:
        pieces: Rows read so far of each value, by the value's name.
        counts: Number of rows that each value has, by the value's name.
    """

    pieces: dict[str, list[bytes]] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def add(self, rows: Iterable[RowChange]) -> None:
        """Add the rows of a page; a row with another form of key is ignored and logged."""
        for row in rows:
            key = row.key
            piece = PIECE_KEY.fullmatch(key.key)
            if piece is None:
                log.warning("row ignored", table=key.table, part=key.part, key=key.key)
                continue
            self.pieces.setdefault(piece["name"], []).append(row.value or b"")
            self.counts[piece["name"]] = int(piece["count"])

    def complete(self) -> dict[str, bytes]:
        """Return the values of which all rows were added, by name."""
        return {
            name: b"".join(pieces)
            for name, pieces in self.pieces.items()
            if len(pieces) == self.counts[name]
        }

    def incomplete_names(self) -> list[str]:
        """Return the names of the values of which rows are missing."""
        return [name for name, pieces in self.pieces.items() if len(pieces) != self.counts[name]]

    def log_incomplete(self, table: str, part: str) -> None:
        """Log the values of which rows are missing in the store."""
        for name in self.incomplete_names():
            log.warning(
                "value incomplete",
                table=table,
                part=part,
                key=name,
                rows=len(self.pieces[name]),
                expected=self.counts[name],
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
    try:
        return decode_msgpack(zlib.decompress(packed), value_type)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ProtocolError(f"unreadable record: {error}", step="records.decode") from error

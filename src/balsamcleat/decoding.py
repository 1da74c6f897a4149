"""Decoding of JSON and MessagePack that comes from outside of the process.

The decoders of ``msgspec`` raise more than ``msgspec.DecodeError``: deep nesting, for one, raises
``RecursionError``. These functions raise ``msgspec.DecodeError`` for all invalid data, and the
linter rejects direct calls of the decoders elsewhere.
"""

from collections.abc import Callable
from typing import Any, TypeVar, overload

import msgspec

__all__ = ["decode_json", "decode_msgpack", "decode_with"]

ValueT = TypeVar("ValueT")
Data = bytes | bytearray | memoryview | str | msgspec.Raw


@overload
def decode_json(data: Data, kind: type[ValueT]) -> ValueT: ...
@overload
def decode_json(data: Data, kind: Any = Any) -> Any: ...
def decode_json(data: Data, kind: Any = Any) -> Any:
    """Return the value of a JSON document.

    Args:
        data: JSON document.
        kind: Type that the value must have.

    Raises:
        msgspec.DecodeError: The document is invalid, or its value has another type.
    """
    return decode_with(lambda document: msgspec.json.decode(document, type=kind), data)


@overload
def decode_msgpack(data: bytes | bytearray, kind: type[ValueT]) -> ValueT: ...
@overload
def decode_msgpack(data: bytes | bytearray, kind: Any = Any) -> Any: ...
def decode_msgpack(data: bytes | bytearray, kind: Any = Any) -> Any:
    """Return the value of a MessagePack document.

    Args:
        data: MessagePack document.
        kind: Type that the value must have.

    Raises:
        msgspec.DecodeError: The document is invalid, or its value has another type.
    """
    return decode_with(lambda document: msgspec.msgpack.decode(document, type=kind), data)


def decode_with(decode: Callable[[Any], ValueT], data: Any) -> ValueT:
    """Return what a decoder of ``msgspec`` makes of data.

    Raises:
        msgspec.DecodeError: The data is invalid.
    """
    try:
        return decode(data)
    except msgspec.DecodeError:
        raise
    except (RecursionError, ArithmeticError, ValueError) as error:
        raise msgspec.DecodeError(f"{type(error).__name__}: {error}") from error

"""Find every fault in a JSON document: its path, the value, and what is allowed."""

import difflib
import types
import typing
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec

__all__ = ["DocumentFault", "find_faults"]

MAX_SHOWN_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Something wrong in a document.

    Attributes:
        path: JSON pointer to the place; empty for the whole document.
        value: The value there as JSON, shortened; empty where it is missing.
        allowed: What is allowed there.
    """

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        found = f"{self.value} is not allowed" if self.value else "is missing"
        return f"{self.path or '/'}: {found}; {self.allowed}"


def find_faults(annotation: Any, value: object, path: str = "") -> list[DocumentFault]:
    """Return every fault of a decoded JSON value against a type; empty when it fits.

    Args:
        annotation: A type that ``msgspec`` can convert to.
        value: The value, as decoded from JSON without a type.
        path: JSON pointer to the value.
    """
    inner = typing.get_origin(annotation)
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return struct_faults(annotation, value, path)
    if inner is dict and isinstance(value, dict):
        of_value = typing.get_args(annotation)[1]
        return [
            fault
            for key, item in value.items()
            for fault in find_faults(of_value, item, f"{path}/{escape(key)}")
        ]
    if inner in (tuple, list) and isinstance(value, list):
        of_item = typing.get_args(annotation)[0]
        return [
            fault
            for position, item in enumerate(value)
            for fault in find_faults(of_item, item, f"{path}/{position}")
        ]
    if inner in (typing.Union, types.UnionType):
        return union_faults(annotation, value, path)
    return leaf_faults(annotation, value, path)


def struct_faults(struct: type[msgspec.Struct], value: object, path: str) -> list[DocumentFault]:
    """Return the faults of an object: unknown, missing and wrong fields."""
    if not isinstance(value, dict):
        return [DocumentFault(path, shown(value), "an object is expected")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    faults = [
        DocumentFault(f"{path}/{escape(name)}", shown(value[name]), unknown(name, tuple(fields)))
        for name in value.keys() - fields.keys()
    ]
    for name, field in fields.items():
        place = f"{path}/{escape(name)}"
        if name in value:
            faults += find_faults(field.type, value[name], place)
        elif field.required:
            faults.append(DocumentFault(place, "", f"{describe(field.type)} is required"))
    return sorted(faults, key=lambda fault: fault.path)


def union_faults(annotation: Any, value: object, path: str) -> list[DocumentFault]:
    """Return the faults of a value that may also be null."""
    choices = [choice for choice in typing.get_args(annotation) if choice is not type(None)]
    if value is None or len(choices) != 1:
        return leaf_faults(annotation, value, path)
    return find_faults(choices[0], value, path)


def leaf_faults(annotation: Any, value: object, path: str) -> list[DocumentFault]:
    """Return the fault of a plain value, if any."""
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError:
        return [DocumentFault(path, shown(value), f"{describe(annotation)} is expected")]
    return []


def describe(annotation: Any) -> str:
    """Return what a type allows, for people."""
    if typing.get_origin(annotation) is Annotated:
        base, *metas = typing.get_args(annotation)
        texts = [meta.description for meta in metas if getattr(meta, "description", None)]
        return texts[0] if texts else describe(base)
    if typing.get_origin(annotation) in (typing.Union, types.UnionType):
        return " or ".join(describe(choice) for choice in typing.get_args(annotation))
    if typing.get_origin(annotation) is not None:
        return "an object" if typing.get_origin(annotation) is dict else "a list"
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return "one of " + ", ".join(str(choice.value) for choice in annotation)
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return "an object"
    names = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        type(None): "null",
    }
    return names.get(annotation, str(annotation))


def unknown(name: str, fields: tuple[str, ...]) -> str:
    """Return what to say of a field that is not known."""
    near = difflib.get_close_matches(name, fields, 1)
    hint = f"did you mean {near[0]!r}? " if near else ""
    return f"{hint}fields here are {', '.join(fields)}"


def shown(value: object) -> str:
    """Return a value as JSON, shortened."""
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def escape(name: str) -> str:
    """Return a name as a JSON pointer's part."""
    return name.replace("~", "~0").replace("/", "~1")

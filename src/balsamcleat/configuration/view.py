"""Typed view of a configuration document; ignores data that a newer release added."""

from collections.abc import Mapping
from typing import Any

import msgspec

from balsamcleat.configuration.document import Delta, Document, entry_pointer, split_pointer
from balsamcleat.configuration.schema import (
    Configuration,
    Deployment,
    Limits,
    Quota,
    RouteDefaults,
    Service,
    Target,
    Team,
    Trainer,
    Zone,
)
from balsamcleat.decoding import decode_json

__all__ = [
    "MAP_SECTIONS",
    "PLAIN_SECTIONS",
    "apply_delta",
    "apply_readable_entries",
    "decode_document",
    "encode_document",
    "section_entry_type",
]

MAP_SECTIONS: Mapping[str, type] = {
    "zones": Zone,
    "services": Service,
    "targets": Target,
    "teams": Team,
    "deployments": Deployment,
    "trainers": Trainer,
    "quotas": Quota,
}
PLAIN_SECTIONS: Mapping[str, type] = {
    "format": int,
    "limits": Limits,
    "route_defaults": RouteDefaults,
}


def section_entry_type(section: str) -> type | None:
    """Return the type of a section's entries, or None for a section that a newer release added."""
    return MAP_SECTIONS.get(section) or PLAIN_SECTIONS.get(section)


def entry_type_at(tokens: tuple[str, ...]) -> type | None:
    """Return the type of the entry at a pointer's tokens, or None if this release defines none."""
    if len(tokens) == 2:
        return MAP_SECTIONS.get(tokens[0])
    return PLAIN_SECTIONS.get(tokens[0]) if len(tokens) == 1 else None


def encode_document(body: Configuration) -> Document:
    """Return a typed configuration as a document."""
    entries = {
        entry_pointer(section, name): msgspec.json.encode(value, order="sorted")
        for section in MAP_SECTIONS
        for name, value in getattr(body, section).items()
    }
    entries |= {
        entry_pointer(section): msgspec.json.encode(getattr(body, section), order="sorted")
        for section in PLAIN_SECTIONS
    }
    return Document.from_entries(entries)


def decode_document(document: Document) -> Configuration:
    """Return the typed view of a document."""
    return apply_delta(Configuration(), Delta(dict(document.entries())))


def apply_delta(body: Configuration, delta: Delta) -> Configuration:
    """Return the typed view after a change; unchanged entries are shared with the old view.

    Entries that this release can't decode, and entries that refer to them, are omitted from the
    view. They stay in the document, so that no data is lost when this VM sends it to others.
    """
    view, has_undecodable = apply_readable_entries(body, delta)
    return (
        drop_dangling_entries(view) if has_undecodable or has_dangling_target(view, delta) else view
    )


def apply_readable_entries(body: Configuration, delta: Delta) -> tuple[Configuration, bool]:
    """Return the view with the decodable entries of a change, and whether any was undecodable.

    References between entries are not checked.
    """
    changes: dict[str, Any] = {}
    has_undecodable = False
    for pointer in delta.pointers():
        names = split_pointer(pointer)
        kind = entry_type_at(names)
        if kind is None:
            continue
        text = delta.put.get(pointer)
        value = None if text is None else read_entry(text, kind)
        has_undecodable = has_undecodable or (value is None and text is not None)
        if len(names) == 1:
            changes[names[0]] = getattr(Configuration(), names[0]) if value is None else value
            continue
        section = changes.setdefault(names[0], dict(getattr(body, names[0])))
        if value is None:
            section.pop(names[1], None)
        else:
            section[names[1]] = value
    return msgspec.structs.replace(body, **changes), has_undecodable


def read_entry(text: bytes, kind: type) -> Any:
    """Return the typed entry without unknown fields, or None if the entry can't be decoded."""
    try:
        return decode_json(text, kind)
    except msgspec.DecodeError:
        pass
    try:
        fields = decode_json(text)
        if not isinstance(fields, dict) or not issubclass(kind, msgspec.Struct):
            return None
        known = {field.encode_name for field in msgspec.structs.fields(kind)}
        return msgspec.convert({key: fields[key] for key in fields if key in known}, kind)
    except msgspec.MsgspecError:
        return None


def has_dangling_target(view: Configuration, delta: Delta) -> bool:
    """Return whether a changed target refers to a service that the view omits."""
    for pointer in delta.put:
        names = split_pointer(pointer)
        if len(names) == 2 and names[0] == "targets" and names[1] in view.targets:
            target = view.targets[names[1]]
            if target.service not in view.services:
                return True
    return False


def drop_dangling_entries(view: Configuration) -> Configuration:
    """Return the view without entries that refer to a service or deployment that it omits."""
    deployments = {
        name: item
        for name, item in view.deployments.items()
        if item.service in view.services and (item.scorer is None or item.scorer in view.services)
    }
    targets = {name: item for name, item in view.targets.items() if item.service in view.services}
    trainers = {
        name: item for name, item in view.trainers.items() if item.deployment in deployments
    }
    return msgspec.structs.replace(
        view, deployments=deployments, targets=targets, trainers=trainers
    )

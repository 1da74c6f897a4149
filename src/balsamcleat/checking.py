"""Check a settings or configuration file without a running system."""

from pathlib import Path
from typing import Literal

import msgspec

from balsamcleat.configuration import Configuration
from balsamcleat.configuration.validation import validate_configuration
from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError
from balsamcleat.faults import DocumentFault, find_faults
from balsamcleat.platform import load_platform_settings
from balsamcleat.settings import read_file, settings_faults

__all__ = ["FileKind", "check_file"]

FileKind = Literal["auto", "settings", "configuration", "platform"]


def check_file(path: Path, kind: FileKind = "auto") -> list[DocumentFault]:
    """Return every fault of a file; empty when it is valid.

    Args:
        path: The file.
        kind: What it holds; ``auto`` tells it by its fields.

    Raises:
        InvalidInputError: The file can't be read.
    """
    data = read_file(path)
    if kind == "auto":
        kind = kind_of(data)
    if kind == "platform":
        return platform_faults(path)
    return configuration_faults(data) if kind == "configuration" else settings_faults(data)


def platform_faults(path: Path) -> list[DocumentFault]:
    """Return the first fault of a settings file that the operators' platform wrote."""
    try:
        load_platform_settings(path)
    except InvalidInputError as error:
        return [DocumentFault("", "", error.message)]
    return []


def kind_of(data: bytes) -> FileKind:
    """Return what a file holds: a configuration has fields that settings don't have."""
    try:
        document = decode_json(data)
    except msgspec.DecodeError:
        return "settings"
    names = set(document) if isinstance(document, dict) else set()
    if {"node", "listen", "platform"} <= names:
        return "platform"
    return "configuration" if names & set(Configuration.__struct_fields__) else "settings"


def configuration_faults(data: bytes) -> list[DocumentFault]:
    """Return every fault of a configuration: of its shape, else of its references."""
    try:
        document = decode_json(data)
    except msgspec.DecodeError as error:
        return [DocumentFault("", "", f"the document is not JSON: {error}")]
    faults = find_faults(Configuration, document)
    if faults:
        return faults
    configuration = msgspec.convert(document, Configuration)
    return [
        DocumentFault(fault.path, value_at(document, fault.path), fault.problem)
        for fault in validate_configuration(configuration)
    ]


def value_at(document: object, pointer: str) -> str:
    """Return the value at a JSON pointer as JSON, or an empty string when there is none."""
    for part in pointer.split("/")[1:]:
        name = part.replace("~1", "/").replace("~0", "~")
        if isinstance(document, dict):
            document = document.get(name)
        elif isinstance(document, list) and name.isdigit() and int(name) < len(document):
            document = document[int(name)]
        else:
            return ""
    return msgspec.json.encode(document).decode()

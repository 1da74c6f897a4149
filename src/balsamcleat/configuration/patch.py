"""Apply JSON patches (RFC 6902) to a numbered configuration."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import jsonpatch
import jsonpointer
import msgspec

from balsamcleat.configuration.danger import find_dangerous_changes
from balsamcleat.configuration.document import Delta, entry_pointer, split_pointer
from balsamcleat.configuration.history import NumberedConfiguration, next_configuration
from balsamcleat.configuration.validation import (
    Fault,
    find_type_faults,
    validate_change,
    validate_entry_name,
)
from balsamcleat.configuration.view import (
    MAP_SECTIONS,
    PLAIN_SECTIONS,
    apply_delta,
    apply_readable_entries,
    section_entry_type,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError

__all__ = ["PatchRejected", "PatchRequest", "RejectionReason", "apply_patch"]

MAX_PATCH_BYTES = 8 * 1024 * 1024
MAX_OPERATIONS = 20_000
MAX_TEXT_CHARACTERS = 2_000
MAX_ID_CHARACTERS = 128


class RejectionReason(Enum):
    """Reason for which a patch was rejected."""

    STALE = "stale"
    INVALID = "invalid"
    DANGEROUS = "dangerous"
    NOT_ALLOWED = "not allowed"


@dataclass(frozen=True, slots=True)
class PatchRequest:
    """A patch submitted by an operator.

    Attributes:
        base_version: Configuration version that the patch was written against.
        patch: The JSON Patch (RFC 6902) as JSON bytes.
        author: Name of the operator who submits the patch.
        reason: Reason that the author gives for the patch.
        operation_id: Unique id of the submission.
        force: Whether the author acknowledged the dangerous effects of the patch.
        dry_run: Whether to validate the patch and report its outcome without storing it.
    """

    base_version: int
    patch: bytes
    author: str
    reason: str
    operation_id: str
    force: bool = False
    dry_run: bool = False


@dataclass(frozen=True, slots=True)
class PatchRejected:
    """Result of a patch that was rejected and had no effect.

    Attributes:
        reason: Reason for the rejection; the value of a ``RejectionReason``.
        faults: Problems found, each with its JSON pointer.
        current_version: Number of the configuration in force.
    """

    reason: str
    faults: tuple[Fault, ...]
    current_version: int


class Operation(msgspec.Struct, frozen=True):
    """Type and paths of one JSON Patch operation; its value is not decoded."""

    op: str
    path: str
    from_: str | None = msgspec.field(default=None, name="from")


def apply_patch(
    base: NumberedConfiguration, request: PatchRequest, at_s: float
) -> NumberedConfiguration | PatchRejected:
    """Return the next numbered configuration, or the rejection of the patch.

    Args:
        base: The configuration in force.
        request: The patch and its metadata.
        at_s: Time of acceptance, in seconds since the Unix epoch.
    """
    if request.base_version != base.version:
        problem = f"written against {request.base_version}, now at {base.version}"
        return PatchRejected(RejectionReason.STALE.value, (Fault("", problem),), base.version)
    delta, faults = compute_valid_delta(base, request)
    if faults:
        return PatchRejected(RejectionReason.INVALID.value, faults, base.version)
    dangers = find_dangerous_changes(base.body, apply_delta(base.body, delta))
    if dangers and not request.force:
        return PatchRejected(RejectionReason.DANGEROUS.value, dangers, base.version)
    return next_configuration(
        base,
        delta,
        patch=request.patch.decode(),
        author=request.author,
        reason=request.reason,
        at_s=at_s,
        operation_id=request.operation_id,
        forced=request.force,
    )


def compute_valid_delta(
    base: NumberedConfiguration, request: PatchRequest
) -> tuple[Delta, tuple[Fault, ...]]:
    """Return the entries that a patch changes, and all faults in the request and the result."""
    faults = validate_request(request)
    if faults:
        return Delta({}), tuple(faults)
    try:
        delta, faults = compute_delta(base, request.patch)
    except InvalidInputError as error:
        return Delta({}), (Fault("", error.message),)
    return delta, tuple(faults) or validate_change(
        apply_readable_entries(base.body, delta)[0], delta
    )


def validate_request(request: PatchRequest) -> list[Fault]:
    """Return the faults in the metadata and the size of a patch request."""
    faults: list[Fault] = []
    if len(request.author) > MAX_TEXT_CHARACTERS or len(request.reason) > MAX_TEXT_CHARACTERS:
        faults.append(Fault("", f"author and reason have at most {MAX_TEXT_CHARACTERS} characters"))
    if not 0 < len(request.operation_id) <= MAX_ID_CHARACTERS:
        faults.append(Fault("", f"an operation id has 1 to {MAX_ID_CHARACTERS} characters"))
    if len(request.patch) > MAX_PATCH_BYTES:
        faults.append(Fault("", f"a patch has at most {MAX_PATCH_BYTES} bytes"))
    return faults


def compute_delta(base: NumberedConfiguration, patch: bytes) -> tuple[Delta, list[Fault]]:
    """Return the entries that a patch changes, and where those don't match the schema.

    The patch is applied to an excerpt with only the entries that it references, so that the cost
    depends on the size of the patch and not of the configuration.

    Raises:
        InvalidInputError: The patch is malformed or does not apply.
    """
    operations = decode_operations(patch)
    try:
        before = extract_referenced_entries(base, operations)
        after = jsonpatch.JsonPatch(decode_json(patch)).apply(before)
        return compare_excerpts(before, after)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        ValueError,
        TypeError,
        KeyError,
        IndexError,
        AttributeError,
        RecursionError,
    ) as error:
        raise InvalidInputError(
            f"the patch does not apply: {error}", step="configuration.patch"
        ) from error


def decode_operations(patch: bytes) -> list[Operation]:
    """Decode the operations of a JSON Patch.

    Raises:
        InvalidInputError: ``patch`` is not a JSON Patch or has too many operations.
    """
    try:
        operations = decode_json(patch, list[Operation])
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"not a JSON Patch: {error}", step="configuration.patch") from error
    if len(operations) > MAX_OPERATIONS:
        raise InvalidInputError(
            f"a patch has at most {MAX_OPERATIONS} operations", step="configuration.patch"
        )
    return operations


def extract_referenced_entries(
    base: NumberedConfiguration, operations: list[Operation]
) -> dict[str, Any]:
    """Return the entries that the operations can access, by section, with default values."""
    document: dict[str, Any] = {section: {} for section in MAP_SECTIONS}
    for section in PLAIN_SECTIONS:
        document[section] = entry_with_defaults(base, entry_pointer(section))
    for section, name in sorted(referenced_entry_names(base, operations)):
        value = entry_with_defaults(base, entry_pointer(section, name))
        if value is not None:
            document[section][name] = value
    return document


def referenced_entry_names(
    base: NumberedConfiguration, operations: list[Operation]
) -> set[tuple[str, str]]:
    """Return the section and name of each map entry that the operations reference.

    A path to a whole section references all of its entries; the empty path, those of all sections.
    """
    referenced: set[tuple[str, str]] = set()
    paths = {path for item in operations for path in (item.path, item.from_) if path is not None}
    for path in paths:
        names = split_pointer(path)
        if len(names) > 1:
            referenced.add((names[0], names[1]))
            continue
        for pointer, _ in base.document.entries():
            entry = split_pointer(pointer)
            if len(entry) == 2 and entry[0] in (names or entry):
                referenced.add((entry[0], entry[1]))
    return {(section, name) for section, name in referenced if section in MAP_SECTIONS}


def entry_with_defaults(base: NumberedConfiguration, pointer: str) -> Any:
    """Return an entry as built-in types with default values, or None if it does not exist."""
    names = split_pointer(pointer)
    section = getattr(base.body, names[0])
    typed = section if len(names) == 1 else section.get(names[1])
    defaults = msgspec.to_builtins(typed)
    text = base.document.get(pointer)
    if text is None:
        return defaults
    value = decode_json(text)
    if isinstance(value, dict) and isinstance(defaults, dict):
        return defaults | value
    return value


def compare_excerpts(before: dict[str, Any], after: Any) -> tuple[Delta, list[Fault]]:
    """Return the change between two excerpts, and the faults in the changed entries."""
    if not isinstance(after, dict):
        return Delta({}), [Fault("", "the configuration must be an object")]
    faults = [
        Fault(entry_pointer(section), "there is no such section")
        for section in after
        if section_entry_type(section) is None
    ]
    old = flatten_excerpt(before)
    try:
        new = flatten_excerpt(after)
    except InvalidInputError as error:
        return Delta({}), [*faults, Fault(error.message, "must be an object")]
    put: dict[str, bytes] = {}
    for pointer, value in new.items():
        text = msgspec.json.encode(value, order="sorted")
        # Compare the JSON text, because 1 == True in Python.
        if pointer in old and msgspec.json.encode(old[pointer], order="sorted") == text:
            continue
        kind = section_entry_type(split_pointer(pointer)[0])
        if kind is None:
            continue
        if "/" in pointer[1:]:
            faults += validate_entry_name(pointer)
        faults += find_type_faults(pointer, value, kind)
        put[pointer] = text
    removed = tuple(sorted(pointer for pointer in old if pointer not in new))
    return Delta(put, removed), faults


def flatten_excerpt(document: dict[str, Any]) -> dict[str, Any]:
    """Return the entries of an excerpt by JSON pointer.

    Raises:
        InvalidInputError: A map section is not an object; the message is the section's pointer.
    """
    entries: dict[str, Any] = {}
    for section, value in document.items():
        if section not in MAP_SECTIONS:
            entries[entry_pointer(section)] = value
            continue
        if not isinstance(value, dict):
            raise InvalidInputError(entry_pointer(section), step="configuration.patch")
        entries |= {entry_pointer(section, name): item for name, item in value.items()}
    return entries

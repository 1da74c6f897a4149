"""Validate a configuration: types, value ranges and cross-references."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from balsamcleat.configuration.document import Delta, entry_pointer, split_pointer
from balsamcleat.configuration.schema import Configuration, ServiceKind
from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError

__all__ = [
    "Fault",
    "decode_configuration",
    "find_type_faults",
    "validate_change",
    "validate_configuration",
    "validate_entry_name",
]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
ADDRESS = re.compile(r"(\[[0-9A-Fa-f:]+\]|[A-Za-z0-9._-]+):[0-9]{1,5}")
TOKEN_DIGEST = re.compile(r"[0-9a-f]{64}")
# Sections whose entries are referenced by entries of other sections.
REFERENCED_SECTIONS = frozenset({"zones", "services", "teams", "deployments"})


@dataclass(frozen=True, slots=True)
class Fault:
    """A problem with the value at ``path``, a JSON pointer."""

    path: str
    problem: str


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration from JSON.

    Raises:
        InvalidInputError: ``data`` is not JSON or does not match the schema; the message has the
            path.
    """
    try:
        return decode_json(data, Configuration)
    except msgspec.DecodeError as error:
        raise InvalidInputError(str(error), step="configuration.decode") from error


def validate_entry_name(pointer: str) -> list[Fault]:
    """Return the faults in the name of an entry."""
    name = split_pointer(pointer)[-1]
    if NAME.fullmatch(name):
        return []
    return [Fault(pointer, "a name has 1 to 128 letters, digits, dots, dashes and underscores")]


def find_type_faults(pointer: str, value: Any, kind: type) -> list[Fault]:
    """Return a fault for each field of an entry that does not match the schema."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        entry_fault = Fault(pointer, str(error))
    else:
        return []
    if not isinstance(value, dict) or not issubclass(kind, msgspec.Struct):
        return [entry_fault]
    faults: list[Fault] = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name, item in value.items():
        path = f"{pointer}/{name}"
        if name not in fields:
            faults.append(Fault(path, "there is no such field"))
            continue
        try:
            msgspec.convert(item, fields[name].type)
        except msgspec.ValidationError as error:
            faults.append(Fault(path, str(error)))
    faults += [
        Fault(f"{pointer}/{name}", "the field is missing")
        for name, field in fields.items()
        if field.required and name not in value
    ]
    return faults or [entry_fault]


def validate_configuration(configuration: Configuration) -> tuple[Fault, ...]:
    """Return all faults in the configuration; empty if the configuration is valid."""
    faults: list[Fault] = []
    for section, validate in VALIDATORS.items():
        for name in getattr(configuration, section):
            faults += validate(configuration, name, entry_pointer(section, name))
    faults += validate_plain_sections(configuration)
    return tuple(faults)


def validate_change(configuration: Configuration, delta: Delta) -> tuple[Fault, ...]:
    """Return the faults that a change introduced into a valid configuration.

    Only changed entries are validated, unless the change touches a section that other entries
    refer to. Validating ten thousand targets each time one is drained would dominate the cost of
    the change.
    """
    changed_tokens = [split_pointer(pointer) for pointer in delta.pointers()]
    if any(tokens and tokens[0] in REFERENCED_SECTIONS for tokens in changed_tokens):
        return validate_configuration(configuration)
    faults: list[Fault] = []
    for pointer in delta.put:
        section, *rest = split_pointer(pointer)
        validate = VALIDATORS.get(section)
        if validate is not None and rest and rest[0] in getattr(configuration, section):
            faults += validate(configuration, rest[0], pointer)
    faults += validate_plain_sections(configuration)
    return tuple(faults)


def find_range_faults(
    path: str, low: float, high: float = float("inf"), **values: float
) -> Iterator[Fault]:
    """Yield a fault for each value outside the closed interval ``low`` to ``high``."""
    for field, value in values.items():
        if not low <= value <= high:
            bounds = f"from {low:g} to {high:g}" if high != float("inf") else f"at least {low:g}"
            yield Fault(f"{path}/{field}", f"must be {bounds}")


def find_unknown_references(
    path: str, what: str, names: Iterable[str], known: Mapping[str, Any]
) -> list[Fault]:
    """Return a fault for each name that is not in ``known``; ``what`` is the kind of entry."""
    return [Fault(path, f"there is no {what} {name!r}") for name in names if name not in known]


def validate_service(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one service."""
    service = configuration.services[name]
    return [
        *find_range_faults(path, 1, max_concurrency=service.max_concurrency),
        *find_range_faults(
            path, 0, queue_limit=service.queue_limit, weight_version=service.weight_version
        ),
        *find_range_faults(path, 0.001, 86_400, deadline_s=service.deadline_s),
    ]


def validate_target(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one target."""
    target = configuration.targets[name]
    faults = [
        *find_unknown_references(
            f"{path}/service", "service", (target.service,), configuration.services
        ),
        *find_unknown_references(f"{path}/zone", "zone", (target.zone,), configuration.zones),
    ]
    if not ADDRESS.fullmatch(target.address):
        faults.append(Fault(f"{path}/address", "must be a host and a port, such as 10.0.0.1:80"))
    return faults


def validate_team(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one team."""
    team = configuration.teams[name]
    faults = list(find_range_faults(path, 0, requests_per_s=team.requests_per_s))
    for position, service in enumerate(team.services):
        faults += find_unknown_references(
            f"{path}/services/{position}", "service", (service,), configuration.services
        )
    faults += [
        Fault(f"{path}/token_sha256/{position}", "must be 64 hexadecimal digits in lower case")
        for position, digest in enumerate(team.token_sha256)
        if not TOKEN_DIGEST.fullmatch(digest)
    ]
    return faults


def validate_deployment(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one deployment."""
    deployment = configuration.deployments[name]
    faults = [
        *find_unknown_references(f"{path}/team", "team", (deployment.team,), configuration.teams),
        *find_range_faults(path, 0, 1, idle_weight=deployment.idle_weight),
        *find_range_faults(path, 0, staleness_bound=deployment.staleness_bound),
    ]
    service = configuration.services.get(deployment.service)
    if service is None or service.kind is not ServiceKind.ENGINE:
        faults.append(
            Fault(f"{path}/service", f"{deployment.service!r} is not a service of kind engine")
        )
    if deployment.scorer is not None:
        names = (deployment.scorer,)
        faults += find_unknown_references(
            f"{path}/scorer", "service", names, configuration.services
        )
    if not deployment.share > 0:
        faults.append(Fault(f"{path}/share", "must be above 0"))
    return faults


def validate_trainer(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one trainer."""
    trainer = configuration.trainers[name]
    return [
        *find_unknown_references(
            f"{path}/deployment", "deployment", (trainer.deployment,), configuration.deployments
        ),
        *find_unknown_references(f"{path}/team", "team", (trainer.team,), configuration.teams),
        *find_range_faults(
            path, 1, max_open_steps=trainer.max_open_steps, max_samples=trainer.max_samples
        ),
    ]


def validate_quota(configuration: Configuration, name: str, path: str) -> list[Fault]:
    """Return the faults in one quota."""
    quota = configuration.quotas[name]
    services = () if quota.service is None else (quota.service,)
    return [
        *find_unknown_references(f"{path}/team", "team", (quota.team,), configuration.teams),
        *find_unknown_references(f"{path}/service", "service", services, configuration.services),
        *find_range_faults(
            path,
            0,
            requests_per_s=quota.requests_per_s,
            max_in_flight=quota.max_in_flight,
            tokens_per_s=quota.tokens_per_s,
        ),
    ]


def validate_plain_sections(configuration: Configuration) -> list[Fault]:
    """Return the faults in the sections that are not maps."""
    limits, routes = configuration.limits, configuration.route_defaults
    return [
        *find_range_faults("", 1, format=configuration.format),
        *find_range_faults(
            "/limits", 1, max_body_bytes=limits.max_body_bytes, max_in_flight=limits.max_in_flight
        ),
        *find_range_faults("/limits", 0, 1, spill_load=limits.spill_load),
        *find_range_faults("/route_defaults", 0.001, 86_400, deadline_s=routes.deadline_s),
        *find_range_faults("/route_defaults", 1, 10, max_attempts=routes.max_attempts),
        *find_range_faults("/route_defaults", 0, 1, affinity_weight=routes.affinity_weight),
    ]


VALIDATORS: Mapping[str, Callable[[Configuration, str, str], list[Fault]]] = {
    "services": validate_service,
    "targets": validate_target,
    "teams": validate_team,
    "deployments": validate_deployment,
    "trainers": validate_trainer,
    "quotas": validate_quota,
}

"""Find dangerous effects of a valid configuration change."""

from collections import Counter
from collections.abc import Callable, Mapping

from balsamcleat.configuration.document import entry_pointer
from balsamcleat.configuration.schema import Configuration, OutagePolicy, RoleName
from balsamcleat.configuration.validation import Fault

__all__ = ["find_dangerous_changes"]

# A change that leaves less than this share of a capacity or limit is reported as dangerous.
MIN_REMAINING_SHARE = 0.5


def find_dangerous_changes(old: Configuration, new: Configuration) -> tuple[Fault, ...]:
    """Return the dangerous effects of the change from ``old`` to ``new``, each with its path."""
    return tuple(fault for finder in DANGER_FINDERS for fault in finder(old, new))


def count_active_targets(configuration: Configuration) -> Counter[str]:
    """Return the number of targets of each service that are not draining."""
    return Counter(
        target.service for target in configuration.targets.values() if not target.draining
    )


def find_capacity_losses(old: Configuration, new: Configuration) -> list[Fault]:
    """Return a fault for each service that loses its last target or over half its capacity."""
    before, after = count_active_targets(old), count_active_targets(new)
    faults: list[Fault] = []
    for name, service in new.services.items():
        path = entry_pointer("services", name)
        if before[name] and not after[name]:
            faults.append(Fault(path, "the last target of the service would go"))
            continue
        old_service = old.services.get(name)
        if old_service is None or not before[name]:
            continue
        old_capacity, new_capacity = (
            before[name] * old_service.max_concurrency,
            after[name] * service.max_concurrency,
        )
        if new_capacity < MIN_REMAINING_SHARE * old_capacity:
            faults.append(
                Fault(path, f"capacity would drop from {old_capacity} calls to {new_capacity}")
            )
    return faults


def find_removals_in_use(old: Configuration, new: Configuration) -> list[Fault]:
    """Return a fault for each removed entry that is still in use."""
    deployment_teams = {item.team for item in old.deployments.values()}
    active_targets = count_active_targets(old)
    used_zones = {target.zone for target in old.targets.values()}
    faults = [
        Fault(entry_pointer("teams", name), "the team has a deployment")
        for name in old.teams
        if name not in new.teams and name in deployment_teams
    ]
    faults += [
        Fault(entry_pointer("services", name), "the service has targets that take work")
        for name in old.services
        if name not in new.services and active_targets[name]
    ]
    faults += [
        Fault(entry_pointer("zones", name), "the zone has targets")
        for name in old.zones
        if name not in new.zones and name in used_zones
    ]
    faults += [
        Fault(entry_pointer("deployments", name), "steps of the deployment would be lost")
        for name in old.deployments
        if name not in new.deployments
    ]
    return faults


def find_access_losses(old: Configuration, new: Configuration) -> list[Fault]:
    """Return a fault for each change that locks out operators or a team."""
    faults: list[Fault] = []
    if has_operator(old) and not has_operator(new):
        faults.append(Fault("/teams", "nobody could operate the system any more"))
    faults += [
        Fault(f"{entry_pointer('teams', name)}/token_sha256", "the team would have no token left")
        for name, team in old.teams.items()
        if team.token_sha256 and name in new.teams and not new.teams[name].token_sha256
    ]
    return faults


def has_operator(configuration: Configuration) -> bool:
    """Return whether any team has the operator role."""
    return any(RoleName.OPERATOR in team.roles for team in configuration.teams.values())


def find_weakened_guarantees(old: Configuration, new: Configuration) -> list[Fault]:
    """Return a fault for each service change that permits duplicate calls or older weights."""
    faults: list[Fault] = []
    for name, service in new.services.items():
        old_service = old.services.get(name)
        if old_service is None:
            continue
        path = entry_pointer("services", name)
        if service.idempotent and not old_service.idempotent:
            faults.append(Fault(f"{path}/idempotent", "its calls could run twice"))
        if service.outage_policy is not old_service.outage_policy is OutagePolicy.REFUSE:
            faults.append(
                Fault(
                    f"{path}/outage_policy",
                    "keyed calls could run twice in a store outage",
                )
            )
        if 0 < service.weight_version < old_service.weight_version:
            faults.append(Fault(f"{path}/weight_version", "the weights would go back"))
    return faults


def find_limit_cuts(old: Configuration, new: Configuration) -> list[Fault]:
    """Return a fault for each limit that is reduced to less than half."""
    pairs: Mapping[str, tuple[int, int]] = {
        "max_in_flight": (old.limits.max_in_flight, new.limits.max_in_flight),
        "max_body_bytes": (old.limits.max_body_bytes, new.limits.max_body_bytes),
    }
    return [
        Fault(f"/limits/{field}", f"would drop from {old_limit} to {new_limit}")
        for field, (old_limit, new_limit) in pairs.items()
        if new_limit < MIN_REMAINING_SHARE * old_limit
    ]


DANGER_FINDERS: tuple[Callable[[Configuration, Configuration], list[Fault]], ...] = (
    find_capacity_losses,
    find_removals_in_use,
    find_access_losses,
    find_weakened_guarantees,
    find_limit_cuts,
)

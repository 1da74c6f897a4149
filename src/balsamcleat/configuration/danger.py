"""Find what is dangerous in a change that is valid."""

from collections import Counter
from collections.abc import Callable, Mapping

from balsamcleat.configuration.document import entry_pointer
from balsamcleat.configuration.schema import Configuration, OutagePolicy, RoleName
from balsamcleat.configuration.validation import Fault

__all__ = ["find_dangerous_changes"]

# A change that leaves less than this share of a capacity is dangerous.
MIN_REMAINING_SHARE = 0.5


def find_dangerous_changes(old: Configuration, new: Configuration) -> tuple[Fault, ...]:
    """Return what the change from ``old`` to ``new`` endangers, by path."""
    return tuple(fault for finder in DANGER_FINDERS for fault in finder(old, new))


def count_active_targets(configuration: Configuration) -> Counter[str]:
    """Return how many targets of each service take work."""
    return Counter(
        target.service for target in configuration.targets.values() if not target.draining
    )


def find_capacity_losses(old: Configuration, new: Configuration) -> list[Fault]:
    """Return services that lose their last target or a big part of their capacity."""
    before, after = count_active_targets(old), count_active_targets(new)
    faults: list[Fault] = []
    for name, service in new.services.items():
        path = entry_pointer("services", name)
        if before[name] and not after[name]:
            faults.append(Fault(path, "the last target of the service would go"))
            continue
        known = old.services.get(name)
        if known is None or not before[name]:
            continue
        was, will = before[name] * known.max_concurrency, after[name] * service.max_concurrency
        if will < MIN_REMAINING_SHARE * was:
            faults.append(Fault(path, f"capacity would drop from {was} calls to {will}"))
    return faults


def find_removals_in_use(old: Configuration, new: Configuration) -> list[Fault]:
    """Return removed things that are in use."""
    used_by_deployments = {item.team for item in old.deployments.values()}
    serving = count_active_targets(old)
    zones = {target.zone for target in old.targets.values()}
    faults = [
        Fault(entry_pointer("teams", name), "the team has a deployment")
        for name in old.teams
        if name not in new.teams and name in used_by_deployments
    ]
    faults += [
        Fault(entry_pointer("services", name), "the service has targets that take work")
        for name in old.services
        if name not in new.services and serving[name]
    ]
    faults += [
        Fault(entry_pointer("zones", name), "the zone has targets")
        for name in old.zones
        if name not in new.zones and name in zones
    ]
    faults += [
        Fault(entry_pointer("deployments", name), "steps of the deployment would be lost")
        for name in old.deployments
        if name not in new.deployments
    ]
    return faults


def find_access_losses(old: Configuration, new: Configuration) -> list[Fault]:
    """Return changes that lock people out."""
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
    """Return whether some team may operate the system."""
    return any(RoleName.OPERATOR in team.roles for team in configuration.teams.values())


def find_weakened_guarantees(old: Configuration, new: Configuration) -> list[Fault]:
    """Return changes of a service that could make a call run twice or weights go back."""
    faults: list[Fault] = []
    for name, service in new.services.items():
        known = old.services.get(name)
        if known is None:
            continue
        path = entry_pointer("services", name)
        if service.idempotent and not known.idempotent:
            faults.append(Fault(f"{path}/idempotent", "its calls could run twice"))
        if service.outage_policy is not known.outage_policy is OutagePolicy.REFUSE:
            faults.append(
                Fault(f"{path}/outage_policy", "keyed calls could run twice in a store outage")
            )
        if 0 < service.weight_version < known.weight_version:
            faults.append(Fault(f"{path}/weight_version", "the weights would go back"))
    return faults


def find_limit_cuts(old: Configuration, new: Configuration) -> list[Fault]:
    """Return limits that are cut to less than half."""
    pairs: Mapping[str, tuple[int, int]] = {
        "max_in_flight": (old.limits.max_in_flight, new.limits.max_in_flight),
        "max_body_bytes": (old.limits.max_body_bytes, new.limits.max_body_bytes),
    }
    return [
        Fault(f"/limits/{field}", f"would drop from {was} to {will}")
        for field, (was, will) in pairs.items()
        if will < MIN_REMAINING_SHARE * was
    ]


DANGER_FINDERS: tuple[Callable[[Configuration, Configuration], list[Fault]], ...] = (
    find_capacity_losses,
    find_removals_in_use,
    find_access_losses,
    find_weakened_guarantees,
    find_limit_cuts,
)

"""Read the settings file that the platform writes for a process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from balsamcleat.errors import InvalidInputError
from balsamcleat.model import VmId, ZoneName
from balsamcleat.ports.rows import StoreLimits

__all__ = ["PlatformSettings", "StoreAccess", "load_platform_settings"]

SETTINGS_VARIABLE = "BALSAMCLEAT_CONFIG"
MS_PER_S = 1000.0


class ListenFields(msgspec.Struct, frozen=True):
    """Addresses to listen at."""

    front: str = ""
    ready: str = ""
    control: str = ""


class StoreFields(msgspec.Struct, frozen=True, rename="camel"):
    """The platform's store."""

    address: str
    row_bytes: int = 65536
    history_s: float = 20.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class BoundFields(msgspec.Struct, frozen=True, rename="camel"):
    """Figures of the platform's rules, as the settings spell them."""

    grace_s: float = 8.0
    # How long one holder's orders must be past before another's.
    lease_ms: float = 3000.0
    # How long a step's results stay readable after it was submitted.
    status_s: float = 120.0


class SettingsFields(msgspec.Struct, frozen=True, rename="camel"):
    """The fields of the file that the product uses; others are ignored."""

    node: str
    ip: str
    zone: str
    listen: ListenFields
    platform: StoreFields
    zones: dict[str, str] = {}
    port_range: tuple[int, int] = (0, 0)
    bounds: BoundFields = BoundFields()


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """Where the store is and what it takes.

    Attributes:
        address: ``IP:PORT``.
        limits: Bounds of rows and commits.
        writes_per_s: Writes of all VMs together; 0 where nothing is said.
        reads_per_s: Reads of all VMs together; 0 where nothing is said.
    """

    address: str
    limits: StoreLimits
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What a process learns from the platform at its start.

    Attributes:
        vm: This VM's name.
        ip: Its address.
        zone: Its availability zone.
        zones: All availability zones, each with its region.
        front_address: Where callers connect; empty if this process serves none.
        ready_address: Where the balancer asks for readiness.
        peer_address: Where other VMs reach this one.
        store: The platform's store.
        grace_s: Time between the request to stop and the kill.
        order_gap_s: How long one holder's orders must be past before another's.
        results_kept_s: How long a step's results stay readable after its submission.
    """

    vm: VmId
    ip: str
    zone: ZoneName
    zones: dict[ZoneName, str]
    front_address: str
    ready_address: str
    peer_address: str
    store: StoreAccess
    grace_s: float
    order_gap_s: float
    results_kept_s: float


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises:
        InvalidInputError: It can't be read or a field is missing or of another type.
    """
    try:
        fields = msgspec.json.decode(path.read_bytes(), type=SettingsFields)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidInputError(f"{path}: {error}", step="settings.read") from error
    return decode_settings(fields)


def decode_settings(fields: SettingsFields) -> PlatformSettings:
    """Return the settings in the project's terms."""
    store = fields.platform
    return PlatformSettings(
        vm=VmId(fields.node),
        ip=fields.ip,
        zone=ZoneName(fields.zone),
        zones={ZoneName(zone): region for zone, region in fields.zones.items()},
        front_address=fields.listen.front,
        ready_address=fields.listen.ready,
        peer_address=f"{fields.ip}:{fields.port_range[0]}" if fields.port_range[0] else "",
        store=StoreAccess(
            address=store.address,
            limits=StoreLimits(row_bytes=store.row_bytes, history_s=store.history_s),
            writes_per_s=store.writes_per_s,
            reads_per_s=store.reads_per_s,
        ),
        grace_s=fields.bounds.grace_s,
        order_gap_s=fields.bounds.lease_ms / MS_PER_S,
        results_kept_s=fields.bounds.status_s,
    )

"""Settings that the platform writes to a file for each process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError
from balsamcleat.http1.numbers import MAX_NUMBER
from balsamcleat.model import VmId, ZoneName
from balsamcleat.ports.rows import StoreLimits

__all__ = ["DutySettings", "PlatformSettings", "StoreAccess", "load_platform_settings"]

SETTINGS_VARIABLE = "BALSAMCLEAT_CONFIG"
MS_PER_S = 1000.0
BYTES_PER_MB = 1024 * 1024
USAGE_DUTY = "usage"
SCALING_DUTY = "autoscale"


class ListenFields(msgspec.Struct, frozen=True):
    """Addresses on which the process listens."""

    front: str = ""
    ready: str = ""
    control: str = ""


class StoreFields(msgspec.Struct, frozen=True, rename="camel"):
    """Address and limits of the platform's store."""

    address: str
    row_bytes: int = 65536
    history_s: float = 20.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class BoundFields(msgspec.Struct, frozen=True, rename="camel"):
    """Time limits that the platform sets, under the names of the settings file."""

    grace_s: float = 8.0
    # Time that must pass between the last order of one lease holder and the first of the next.
    lease_ms: float = 3000.0
    # How long the results of a step stay readable after its submission.
    status_s: float = 120.0
    # Time within which an accepted configuration version must be in force at every VM.
    apply_ms: float = 3000.0
    # Length of a window of usage reports; the windows are numbered from the start of 1970.
    report_window_s: Annotated[float, msgspec.Meta(gt=0.0)] = 5.0
    # Time after the end of a window by which the platform must have its report.
    usage_late_s: float = 10.0


class DutyFields(msgspec.Struct, frozen=True, rename="camel"):
    """Address of the interface for duties, and the duties that this deployment performs."""

    address: str
    duties: list[str] = []
    # Limit of all VMs together; ``ratePerS`` is that of an interface that this project doesn't use.
    duty_per_s: float = 0.0


class LimitFields(msgspec.Struct, frozen=True, rename="camel"):
    """Limits of this VM."""

    ram_mb: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_NUMBER)] | None = None


class SettingsFields(msgspec.Struct, frozen=True, rename="camel"):
    """Fields of the settings file that this project uses; other fields are ignored."""

    node: str
    ip: str
    zone: str
    listen: ListenFields
    platform: StoreFields
    zones: dict[str, str] = {}
    port_range: tuple[int, int] = (0, 0)
    bounds: BoundFields = BoundFields()
    cloud_api: DutyFields | None = None
    limits: LimitFields | None = None


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """Address and limits of the platform's store.

    Attributes:
        address: Address of the store as ``IP:PORT``.
        limits: Size limits of rows and commits, and how far back the change feed reaches.
        writes_per_s: Limit on the writes per second of all VMs together; 0 if none is set.
        reads_per_s: Limit on the reads per second of all VMs together; 0 if none is set.
    """

    address: str
    limits: StoreLimits
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DutySettings:
    """Settings of the duties that one VM performs at a time.

    Attributes:
        address: Address of the platform's interface for duties as ``IP:PORT``.
        usage: Whether the VMs report the usage of teams.
        scaling: Whether the VMs order numbers of targets.
        calls_per_s: Limit on the calls per second of all VMs together; 0 if none is set.
        report_window_s: Length of a window of usage reports, in seconds.
        usage_deadline_s: Time after the end of a window by which its report is due, in seconds.
    """

    address: str
    usage: bool
    scaling: bool
    calls_per_s: float
    report_window_s: float
    usage_deadline_s: float


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform gives to a process.

    Attributes:
        vm: Name of this VM.
        ip: IP address of this VM.
        zone: Availability zone of this VM.
        zones: Region of each availability zone.
        front_address: Address on which callers connect; empty if this process serves no callers.
        ready_address: Address on which the load balancer checks readiness.
        peer_address: Address on which other VMs reach this VM; empty if it has none.
        store: Address and limits of the platform's store.
        grace_s: Time between the stop signal and the kill, in seconds.
        order_gap_s: Time in seconds that must pass between the last order of one lease holder and
            the first order of the next; it applies to the calls of all duties.
        results_kept_s: How long the results of a step stay readable after its submission, in
            seconds.
        apply_s: Time within which an accepted configuration version must be in force at every VM,
            in seconds.
        duties: Settings of the duties of one VM; None if the platform has no interface for them.
        memory_bytes: Memory of this VM; None if it is not stated.
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
    apply_s: float
    duties: DutySettings | None = None
    memory_bytes: int | None = None


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and validate the settings file.

    Raises:
        InvalidInputError: The file can't be read, or a field is missing or has a wrong type.
    """
    try:
        fields = decode_json(path.read_bytes(), SettingsFields)
    except (OSError, msgspec.DecodeError) as error:
        raise InvalidInputError(f"{path}: {error}", step="settings.read") from error
    return decode_settings(fields)


def decode_settings(fields: SettingsFields) -> PlatformSettings:
    """Return the settings under the project's own names and units."""
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
        apply_s=fields.bounds.apply_ms / MS_PER_S,
        duties=decode_duties(fields.cloud_api, fields.bounds),
        memory_bytes=decode_memory(fields.limits),
    )


def decode_memory(fields: LimitFields | None) -> int | None:
    """Return the memory of this VM in bytes, or None if it is not stated."""
    if fields is None or fields.ram_mb is None:
        return None
    return int(fields.ram_mb * BYTES_PER_MB)


def decode_duties(fields: DutyFields | None, bounds: BoundFields) -> DutySettings | None:
    """Return the settings of duties; names of unknown duties are ignored."""
    if fields is None:
        return None
    return DutySettings(
        address=fields.address,
        usage=USAGE_DUTY in fields.duties,
        scaling=SCALING_DUTY in fields.duties,
        calls_per_s=fields.duty_per_s,
        report_window_s=bounds.report_window_s,
        usage_deadline_s=bounds.usage_late_s,
    )

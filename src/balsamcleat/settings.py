"""A process's own settings, read from one JSON file."""

import ipaddress
from pathlib import Path
from typing import Annotated

import msgspec

from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError
from balsamcleat.faults import DocumentFault, find_faults

__all__ = [
    "PlatformSettings",
    "SecuritySettings",
    "Settings",
    "load_settings",
    "read_file",
    "settings_faults",
]

SECURITY_FILES = (
    "peer_keys_file",
    "tls_certificate_file",
    "tls_key_file",
    "tls_client_ca_file",
)

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
        description="a name of up to 63 letters, digits, dots, dashes and underscores",
    ),
]
Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[^:/\s]+:\d{1,5}$",
        description="host:port, such as 10.0.0.1:8080,",
    ),
]
Url = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^https?://[^/\s]+(/\S*)?$",
        description="an http or https URL, such as http://10.0.0.9:8000,",
    ),
]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600, description="seconds from 0 to 3600")]
Sha256 = Annotated[
    str,
    msgspec.Meta(pattern=r"^[0-9a-f]{64}$", description="a SHA-256 digest, 64 hex digits,"),
]


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where the platform's services are, as base URLs.

    Attributes:
        table_url: The transactional table service.
        objects_url: The object store.
        vm_list_url: The VM list.
        weights_url: The weight store.
    """

    table_url: Url
    objects_url: Url
    vm_list_url: Url
    weights_url: Url


class SecuritySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Keys and certificates; files are read again when they change.

    Attributes:
        allow_anonymous: Let everybody do everything and leave peers' messages unsealed; for
            loopback only.
        bootstrap_token_sha256: Hex digest of the token that may patch while the configuration
            names no operator.
        peer_keys_file: The peers' shared keys.
        tls_certificate_file: PEM certificate chain of the HTTP face, or None for plain HTTP.
        tls_key_file: Its private key.
        tls_client_ca_file: Certificate authority that callers' certificates must come from, or
            None to ask for none.
    """

    allow_anonymous: bool = False
    bootstrap_token_sha256: Sha256 | None = None
    peer_keys_file: str | None = None
    tls_certificate_file: str | None = None
    tls_key_file: str | None = None
    tls_client_ca_file: str | None = None


class Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything a node must be told; all else is in the numbered configuration.

    Attributes:
        vm_id: This VM's id in the platform's VM list.
        availability_zone: The availability zone it runs in.
        http_address: Host and port for callers, trainers and operators.
        peer_address: Host and port for peers, UDP and TCP.
        platform: Where the platform's services are.
        security: Keys and certificates.
        statsd_address: Host and port of the statsd daemon, or None for no metrics.
        drain_timeout_s: The longest a graceful shutdown may take, in seconds.
        advertise_grace_s: How long a leaving node still accepts calls, in seconds, while the
            platform's balancer learns of it.
    """

    vm_id: Name
    availability_zone: Name
    http_address: Address
    peer_address: Address
    platform: PlatformSettings
    security: SecuritySettings = SecuritySettings()
    statsd_address: Address | None = None
    drain_timeout_s: Seconds = 120.0
    advertise_grace_s: Seconds = 5.0


def load_settings(path: Path) -> Settings:
    """Read settings from a file.

    Raises:
        InvalidInputError: The file can't be read or is not valid; the message lists every fault.
    """
    data = read_file(path)
    faults = settings_faults(data)
    if faults:
        lines = "\n".join(f"  {fault}" for fault in faults)
        raise InvalidInputError(f"{path} has faults:\n{lines}", step="settings.check")
    return decode_json(data, Settings)


def read_file(path: Path) -> bytes:
    """Return a file's content.

    Raises:
        InvalidInputError: It can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidInputError(f"can't read {path}: {error.strerror}", step="file.read") from error


def settings_faults(data: bytes) -> list[DocumentFault]:
    """Return every fault of a settings file's content; empty when a node can start from it."""
    try:
        document = decode_json(data)
    except msgspec.DecodeError as error:
        return [DocumentFault("", "", f"the document is not JSON: {error}")]
    faults = find_faults(Settings, document)
    if faults:
        return faults
    settings = msgspec.convert(document, Settings)
    return [
        *address_faults(settings),
        *security_faults(settings.security),
        *anonymous_faults(settings),
    ]


def address_faults(settings: Settings) -> list[DocumentFault]:
    """Return the faults in how the addresses go together."""
    if settings.http_address != settings.peer_address:
        return []
    return [
        DocumentFault(
            "/peer_address",
            f'"{settings.peer_address}"',
            "it must differ from http_address, for both listen for TCP",
        )
    ]


def security_faults(security: SecuritySettings) -> list[DocumentFault]:
    """Return the faults in keys and certificates."""
    faults = [
        DocumentFault(f"/security/{name}", f'"{value}"', "a file that can be read is expected")
        for name in SECURITY_FILES
        if (value := getattr(security, name)) is not None and not Path(value).is_file()
    ]
    if (security.tls_certificate_file is None) != (security.tls_key_file is None):
        faults.append(
            DocumentFault(
                "/security", "one of both", "tls_certificate_file and tls_key_file go together"
            )
        )
    if security.peer_keys_file is None and not security.allow_anonymous:
        allowed = "a file with the peers' keys is required unless allow_anonymous is true"
        faults.append(DocumentFault("/security/peer_keys_file", "", allowed))
    return faults


def anonymous_faults(settings: Settings) -> list[DocumentFault]:
    """Return the addresses at which everybody on the network could do everything."""
    if not settings.security.allow_anonymous:
        return []
    return [
        DocumentFault(
            f"/{name}",
            f'"{address}"',
            "a loopback address is expected while security.allow_anonymous is true",
        )
        for name in ("http_address", "peer_address")
        if not is_loopback(address := getattr(settings, name))
    ]


def is_loopback(address: str) -> bool:
    """Return whether ``host:port`` can be reached from this VM only."""
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"

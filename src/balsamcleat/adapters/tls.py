"""TLS for the HTTP interface, with certificates that are reloaded without a restart."""

import ssl
from dataclasses import dataclass
from pathlib import Path

import anyio
import structlog
from hypercorn.config import Config

from balsamcleat.errors import InvalidInputError

__all__ = ["TlsConfig", "TlsFiles", "TlsServer"]

RELOAD_INTERVAL_S = 5.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the certificate and of the key.

    Attributes:
        certificate: PEM certificate chain.
        key: PEM private key.
        client_ca: Certificate authority that must have issued the clients' certificates, or None.
    """

    certificate: Path
    key: Path
    client_ca: Path | None = None

    def modification_times(self) -> tuple[int, int]:
        """Return the modification times of the certificate and the key, in nanoseconds."""
        return self.certificate.stat().st_mtime_ns, self.key.stat().st_mtime_ns


class TlsServer:
    """TLS context whose certificate is replaced in place, for new connections.

    Args:
        files: Paths of the certificate and of the key.

    Raises:
        InvalidInputError: The files can't be used.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.context.set_alpn_protocols(["http/1.1"])
        if files.client_ca is not None:
            self.context.load_verify_locations(files.client_ca)
            self.context.verify_mode = ssl.CERT_REQUIRED
        self.loaded_times: tuple[int, int] = (0, 0)
        self.reload()

    def reload(self) -> bool:
        """Load the files if they changed; return whether they did.

        Raises:
            InvalidInputError: The files can't be used; the old certificate stays in use.
        """
        try:
            stamp = self.files.modification_times()
            if stamp == self.loaded_times:
                return False
            # Loaded into a temporary context first: a wrong key must not reach the one in use.
            ssl.create_default_context().load_cert_chain(self.files.certificate, self.files.key)
            self.context.load_cert_chain(self.files.certificate, self.files.key)
        except (OSError, ssl.SSLError) as error:
            raise InvalidInputError(
                f"can't use certificate {self.files.certificate}: {error}", step="tls.load"
            ) from error
        self.loaded_times = stamp
        return True

    async def run(self) -> None:
        """Reload changed files at intervals until cancelled."""
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            try:
                if self.reload():
                    log.info("certificate reloaded", file=str(self.files.certificate))
            except InvalidInputError as error:
                log.warning("certificate not reloaded", problem=error.message)


class TlsConfig(Config):
    """hypercorn's settings with a given TLS context.

    Args:
        tls: TLS context to serve with.
    """

    def __init__(self, tls: TlsServer) -> None:
        super().__init__()
        self.tls = tls

    @property
    def ssl_enabled(self) -> bool:
        """Whether TLS is enabled, which it always is here."""
        return True

    def create_ssl_context(self) -> ssl.SSLContext:
        """Return the shared context."""
        return self.tls.context

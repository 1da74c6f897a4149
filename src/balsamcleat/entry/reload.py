"""Reloads the settings file when it changes, on a signal or by polling."""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import anyio
import structlog

from balsamcleat.errors import InvalidInputError
from balsamcleat.platform import PlatformSettings, load_platform_settings

__all__ = ["SettingsWatcher", "changed_fields"]

# A change has to take effect within a few seconds; a check costs one system call.
CHECK_INTERVAL_S = 1.0

log = structlog.get_logger()


def changed_fields(before: PlatformSettings, after: PlatformSettings) -> list[str]:
    """Return the names of the settings that differ between two versions."""
    names = [field.name for field in fields(PlatformSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]


class SettingsWatcher:
    """Watches the settings file and applies its changes to the running process.

    Args:
        path: Path of the settings file.
        settings: Settings in force.
        apply_settings: Called with the new settings if the file is valid and a setting differs.
    """

    def __init__(
        self,
        path: Path,
        settings: PlatformSettings,
        apply_settings: Callable[[PlatformSettings], None],
    ) -> None:
        self.path = path
        self.settings = settings
        self.apply_settings = apply_settings
        # Unknown until the first check: the file may have changed since it was read.
        self.last_fingerprint: tuple[int, int, int] | None = None

    def file_fingerprint(self) -> tuple[int, int, int]:
        """Return values of the settings file's status that differ after it is written."""
        try:
            file_status = self.path.stat()
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return (0, 0, 0)
        return (file_status.st_mtime_ns, file_status.st_size, file_status.st_ino)

    async def run(self) -> None:
        """Check the settings file for changes until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            fingerprint = self.file_fingerprint()
            if fingerprint not in (self.last_fingerprint, (0, 0, 0)):
                is_first = self.last_fingerprint is None
                self.last_fingerprint = fingerprint
                self.reload("the first check" if is_first else "the file changed")

    def reload(self, cause: str) -> None:
        """Read the settings file and apply what differs; an invalid file changes nothing."""
        try:
            settings = load_platform_settings(self.path)
        except InvalidInputError as error:
            log.warning("reload failed", reason=error.message)
            return
        except Exception as error:
            # Whatever the file contains, the process goes on with the settings that it has.
            log.exception("reload failed", reason=repr(error))
            return
        changed = changed_fields(self.settings, settings)
        log.info("reload", cause=cause, changed=changed)
        if changed:
            self.settings = settings
            self.apply_settings(settings)

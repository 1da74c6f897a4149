"""Reads the settings file again when it changes, with a signal or without."""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

import anyio
import structlog

from balsamcleat.errors import InvalidInputError
from balsamcleat.platform import PlatformSettings, load_platform_settings

__all__ = ["SettingsWatcher", "changed_fields"]

# A change comes into force within a few seconds; a look costs one system call.
CHECK_INTERVAL_S = 1.0

log = structlog.get_logger()


def changed_fields(before: PlatformSettings, after: PlatformSettings) -> list[str]:
    """Return the names of the settings that differ."""
    names = [field.name for field in fields(PlatformSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]


class SettingsWatcher:
    """Keeps the settings in force up to date with their file.

    Args:
        path: The file.
        settings: The settings in force.
        apply: Called with new settings that can be read and differ.
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
        self.last_fingerprint = self.file_fingerprint()

    def file_fingerprint(self) -> tuple[int, int, int]:
        """Return what tells one state of the file from another."""
        try:
            file_status = self.path.stat()
        except OSError:
            # It is being replaced; the next look finds it.
            return (0, 0, 0)
        return (file_status.st_mtime_ns, file_status.st_size, file_status.st_ino)

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            fingerprint = self.file_fingerprint()
            if fingerprint not in (self.last_fingerprint, (0, 0, 0)):
                self.last_fingerprint = fingerprint
                self.reload("the file changed")

    def reload(self, cause: str) -> None:
        """Read the file and put what differs into force; a bad file changes nothing."""
        try:
            settings = load_platform_settings(self.path)
        except InvalidInputError as error:
            log.warning("reload failed", reason=error.message)
            return
        changed = changed_fields(self.settings, settings)
        log.info("reload", cause=cause, changed=changed)
        if changed:
            self.settings = settings
            self.apply_settings(settings)

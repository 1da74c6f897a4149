"""Track which numbered configuration is active on this VM."""

from enum import Enum

from balsamcleat.configuration import (
    EMPTY_CONFIGURATION,
    ChangeRecord,
    NumberedConfiguration,
    apply_change,
    decode_record_head,
)

__all__ = ["AdoptionResult", "ConfigurationAdoption"]


class AdoptionResult(Enum):
    """Result of offering a configuration change."""

    ADOPTED = "adopted"
    OLD = "old"
    GAP = "gap"
    FORKED = "forked"


class ConfigurationAdoption:
    """Active configuration of this VM; its version number never decreases."""

    def __init__(self) -> None:
        self.current = EMPTY_CONFIGURATION

    def adopt_if_newer(self, record: NumberedConfiguration) -> bool:
        """Adopt the configuration if it is newer; return whether it was adopted."""
        if record.version <= self.current.version:
            return False
        self.current = record
        return True

    def adopt_change(self, change: ChangeRecord) -> AdoptionResult:
        """Adopt the change if it directly follows the active configuration.

        Raises:
            ProtocolError: The content of the change does not match its digest.
        """
        head = decode_record_head(bytes(change.head))
        if head.version <= self.current.version:
            return AdoptionResult.OLD
        if head.version > self.current.version + 1:
            return AdoptionResult.GAP
        if head.previous_digest != self.current.digest:
            return AdoptionResult.FORKED
        self.adopt_if_newer(apply_change(self.current, change))
        return AdoptionResult.ADOPTED

    def replace_diverged(self, record: NumberedConfiguration) -> bool:
        """Adopt the table's configuration if a peer sent other content for its version."""
        if record.version < self.current.version or record.digest == self.current.digest:
            return False
        self.current = record
        return True

    def is_behind(self, version: int) -> bool:
        """Return whether the active configuration is older than the given version."""
        return version > self.current.version

"""Decide which numbered configuration is in force on this node."""

from enum import Enum

from balsamcleat.configuration import (
    EMPTY,
    ChangeRecord,
    NumberedConfiguration,
    apply_change,
    head_of,
)

__all__ = ["AdoptionResult", "ConfigurationAdoption"]


class AdoptionResult(Enum):
    """What became of an offered configuration."""

    ADOPTED = "adopted"
    OLD = "old"
    GAP = "gap"
    FORKED = "forked"


class ConfigurationAdoption:
    """Moves up through the numbered configurations and never down."""

    def __init__(self) -> None:
        self.current = EMPTY

    def adopt_if_newer(self, record: NumberedConfiguration) -> bool:
        """Adopt the record if it is newer; returns whether it is now in force."""
        if record.version <= self.current.version:
            return False
        self.current = record
        return True

    def adopt_change(self, change: ChangeRecord) -> AdoptionResult:
        """Adopt the change if it follows the configuration in force.

        Raises:
            ProtocolError: Its contents do not fit its digest.
        """
        head = head_of(bytes(change.head))
        if head.version <= self.current.version:
            return AdoptionResult.OLD
        if head.version > self.current.version + 1:
            return AdoptionResult.GAP
        if head.previous_digest != self.current.digest:
            return AdoptionResult.FORKED
        self.adopt_if_newer(apply_change(self.current, change))
        return AdoptionResult.ADOPTED

    def replace_diverged(self, record: NumberedConfiguration) -> bool:
        """Take the table's word for a number that a peer had given other contents."""
        if record.version < self.current.version or record.digest == self.current.digest:
            return False
        self.current = record
        return True

    def is_behind(self, version: int) -> bool:
        """Return whether a peer's version is newer than ours."""
        return version > self.current.version

"""The interface to the platform's list of VMs, which may be outdated."""

from abc import ABC, abstractmethod

from balsamcleat.model import VmKind, VmRecord, ZoneName

__all__ = ["VmList"]


class VmList(ABC):
    """Reads the platform's list of live and leaving VMs."""

    @abstractmethod
    async def records(
        self, zone: ZoneName | None = None, kind: VmKind | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the platform's current list, which may be some seconds out of date.

        Args:
            zone: Availability zone whose VMs are returned; None for all zones.
            kind: Kind of the VMs that are returned; None for all kinds.

        Raises:
            PlatformUnavailableError: The list could not be read.
        """

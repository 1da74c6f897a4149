"""The transport interface for datagrams and requests between entry VMs."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from balsamcleat.model.peer import PeerMessage

__all__ = ["DatagramHandler", "PeerTransport", "RequestHandler"]

DatagramHandler = Callable[[PeerMessage, str], Awaitable[None]]
RequestHandler = Callable[[PeerMessage], Awaitable[PeerMessage]]


class PeerTransport(ABC):
    """Sends and receives messages of entry VMs; addresses have the form ``host:port``."""

    @abstractmethod
    async def send(self, address: str, message: PeerMessage) -> None:
        """Send a datagram, which may be lost, delayed or duplicated."""

    @abstractmethod
    async def request(self, address: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request over TCP and return the reply.

        Raises:
            AttemptFailedError: No complete reply arrived within the timeout.
        """

    @abstractmethod
    async def run(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Receive datagrams and requests and pass them to the handlers until cancelled."""

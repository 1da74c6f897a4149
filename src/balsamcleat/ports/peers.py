"""The peers port: datagrams and requests between entry VMs."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from balsamcleat.model.peer import PeerMessage

__all__ = ["DatagramHandler", "PeerTransport", "RequestHandler"]

DatagramHandler = Callable[[PeerMessage, str], Awaitable[None]]
RequestHandler = Callable[[PeerMessage], Awaitable[PeerMessage]]


class PeerTransport(ABC):
    """Carries messages to other entry VMs; addresses are ``host:port``."""

    @abstractmethod
    async def send(self, address: str, message: PeerMessage) -> None:
        """Send one datagram; it may be lost, late or doubled."""

    @abstractmethod
    async def request(self, address: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request over TCP and return the reply.

        Raises:
            AttemptFailedError: No whole reply came in time.
        """

    @abstractmethod
    async def run(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Receive until cancelled."""

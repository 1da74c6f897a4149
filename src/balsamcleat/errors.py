"""The exceptions of balsamcleat; each carries the step and the peer at which it arose."""

from balsamcleat.model.calls import AttemptPhase, FailureKind
from balsamcleat.model.targets import AttemptOutcome

__all__ = [
    "AttemptFailedError",
    "BalsamcleatError",
    "CommitRejectedError",
    "InvalidInputError",
    "OutcomeUnknownError",
    "OverloadedError",
    "PlatformBusyError",
    "PlatformError",
    "PlatformUnavailableError",
    "ProtocolError",
    "RefusedError",
]


class BalsamcleatError(Exception):
    """Base of all errors raised here.

    Args:
        message: What went wrong and what to do about it.
        step: The step of the work at which it arose, such as ``table.commit``.
        peer: The VM, target or service that was being talked to, if any.
    """

    def __init__(self, message: str, *, step: str, peer: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" with {self.peer}" if self.peer else ""
        return f"{self.message} (at {self.step}{where})"


class InvalidInputError(BalsamcleatError):
    """A setting, message or patch is not valid; the message names its path."""


class ProtocolError(BalsamcleatError):
    """A peer or target answered something that its protocol does not allow."""


class RefusedError(BalsamcleatError):
    """The other side refused before it did anything."""


class OverloadedError(RefusedError):
    """Admission refused a request before anything was sent: it was not run.

    Args:
        message: Why.
        step: The step.
        peer: The service.
        retry_after_s: When to come back, in seconds.
        over_quota: Whether a quota of the caller's was used up.
    """

    def __init__(
        self, message: str, *, step: str, peer: str | None, retry_after_s: int, over_quota: bool
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s
        self.over_quota = over_quota


class PlatformError(BalsamcleatError):
    """Base of failures of the platform's table, object or list services."""


class PlatformUnavailableError(PlatformError):
    """The platform did not take the request: nothing was read or written."""


class PlatformBusyError(PlatformUnavailableError):
    """This process did not send the request: too many wait, or the service keeps failing."""


class CommitRejectedError(PlatformError):
    """The table refused a commit as invalid: nothing was written, nor would it be if repeated."""


class OutcomeUnknownError(PlatformError):
    """A write was sent and its answer lost: it may or may not have taken effect."""


class AttemptFailedError(BalsamcleatError):
    """An attempt at a target failed; ``perhaps_sent`` says whether it may have run.

    Args:
        message: What went wrong.
        step: The step of the attempt.
        peer: The target.
        perhaps_sent: False only when no byte of the request left this process, or when the
            target itself refused before execution.
        outcome: What the failure says about the target.
        kind: The class of the failure; worked out from ``perhaps_sent`` when not given.
        retry_after_s: When the target asked to come back, in seconds; None when it didn't say.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str | None,
        perhaps_sent: bool,
        outcome: AttemptOutcome = AttemptOutcome.FAILED,
        kind: FailureKind | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.perhaps_sent = perhaps_sent
        self.outcome = outcome
        self.kind = kind or (FailureKind.FAULT if perhaps_sent else FailureKind.UNREACHED)
        self.retry_after_s = retry_after_s

    @property
    def phase(self) -> AttemptPhase:
        """How far the attempt got."""
        return AttemptPhase.PERHAPS_SENT if self.perhaps_sent else AttemptPhase.NOT_SENT

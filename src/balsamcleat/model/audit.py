"""The rows of the audit trail and their keys."""

import msgspec

__all__ = ["AuditRow", "audit_key"]


class AuditRow(msgspec.Struct, frozen=True, kw_only=True):
    """Describes one audited action: its author, time, reason and result.

    New fields must have defaults, and fields are never removed, so that two consecutive releases
    can read each other's rows.

    Attributes:
        at_s: Time of the action, in seconds since the Unix epoch.
        author: Person who took the action, or the VM for an automatic action.
        action: Name of the action, such as ``configuration.patch``.
        reason: Reason given for the action.
        result: ``accepted``, or another outcome of the action.
        version: Configuration version created by the action; 0 if it created none.
        subject: Object of the action, such as a lease or a target.
        operation_id: Id of the submitted operation; empty if the action has none.
    """

    at_s: float
    author: str
    action: str
    reason: str
    result: str
    version: int = 0
    subject: str = ""
    operation_id: str = ""


def audit_key(at_s: float, operation_id: str) -> str:
    """Return the key of an audit row; the keys sort by time."""
    return f"audit/{int(at_s * 1000):015d}/{operation_id}"

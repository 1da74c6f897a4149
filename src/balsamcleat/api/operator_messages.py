"""Messages between operators and the system."""

import msgspec

from balsamcleat.configuration import Configuration, NumberedConfiguration

__all__ = ["ConfigurationMessage", "PatchReply", "encode_configuration"]


class ConfigurationMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A numbered configuration with its typed body."""

    version: int
    digest: str
    previous_digest: str
    body: Configuration
    patch: str = "[]"
    author: str = ""
    reason: str = ""
    at_s: float = 0.0
    operation_id: str = ""


class PatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an accepted patch.

    Attributes:
        version: The number that it became, or would have in a dry run.
        digest: That configuration's digest.
        repeated: Whether an earlier submission with the same operation id had taken effect.
        dry_run: Whether nothing was written.
        operation_id: The submission, for asking again after a lost answer.
    """

    version: int
    digest: str
    operation_id: str
    repeated: bool = False
    dry_run: bool = False


def encode_configuration(record: NumberedConfiguration) -> ConfigurationMessage:
    """Return the message of a numbered configuration."""
    return ConfigurationMessage(
        version=record.version,
        digest=record.digest,
        previous_digest=record.previous_digest,
        body=record.body,
        patch=record.patch,
        author=record.author,
        reason=record.reason,
        at_s=record.at_s,
        operation_id=record.operation_id,
    )

"""JSON messages between operators and this system."""

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
    """Response to an accepted patch.

    Attributes:
        version: Number of the configuration that the patch made, or would make without the dry run.
        digest: Digest of that configuration.
        repeated: Whether an earlier submission with the same operation id had taken effect.
        dry_run: Whether nothing was written.
        operation_id: Id of the submission, for a retry after a lost response.
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

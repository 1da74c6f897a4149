"""The numbered configuration: its shape, its checks, its patches and its history."""

from balsamcleat.configuration.history import (
    EMPTY,
    NumberedConfiguration,
    chain_digest,
    decode_record,
    encode_record,
    verify,
)
from balsamcleat.configuration.patch import PatchRejected, PatchRequest, apply_patch
from balsamcleat.configuration.schema import (
    Configuration,
    Deployment,
    Limits,
    OutagePolicy,
    RoleName,
    Service,
    ServiceKind,
    Target,
    Team,
    Zone,
)
from balsamcleat.configuration.validation import Fault, check, decode_configuration

__all__ = [
    "EMPTY",
    "Configuration",
    "Deployment",
    "Fault",
    "Limits",
    "NumberedConfiguration",
    "OutagePolicy",
    "PatchRejected",
    "PatchRequest",
    "RoleName",
    "Service",
    "ServiceKind",
    "Target",
    "Team",
    "Zone",
    "apply_patch",
    "chain_digest",
    "check",
    "decode_configuration",
    "decode_record",
    "encode_record",
    "verify",
]

"""Frozen data classes that the parts share."""

from balsamcleat.model.calls import Answer, AttemptPhase, CallRequest, Certainty, Priority
from balsamcleat.model.generation import GenerationRequest, TokenFrame
from balsamcleat.model.ids import (
    AttemptId,
    ConfigurationVersion,
    DeploymentName,
    RequestId,
    ServiceName,
    StepId,
    TargetId,
    TeamName,
    VmId,
    WeightVersion,
    ZoneName,
)
from balsamcleat.model.members import Member, MemberStatus, VmKind, VmRecord
from balsamcleat.model.samples import (
    Batch,
    PromptGroup,
    Sample,
    SampleKey,
    StepSpec,
    VersionSpan,
)
from balsamcleat.model.targets import (
    AttemptOutcome,
    CacheEvent,
    EngineState,
    LoadReport,
    Role,
    TargetInfo,
    TargetPhase,
)

__all__ = [
    "Answer",
    "AttemptId",
    "AttemptOutcome",
    "AttemptPhase",
    "Batch",
    "CacheEvent",
    "CallRequest",
    "Certainty",
    "ConfigurationVersion",
    "DeploymentName",
    "EngineState",
    "GenerationRequest",
    "LoadReport",
    "Member",
    "MemberStatus",
    "Priority",
    "PromptGroup",
    "RequestId",
    "Role",
    "Sample",
    "SampleKey",
    "ServiceName",
    "StepId",
    "StepSpec",
    "TargetId",
    "TargetInfo",
    "TargetPhase",
    "TeamName",
    "TokenFrame",
    "VersionSpan",
    "VmId",
    "VmKind",
    "VmRecord",
    "WeightVersion",
    "ZoneName",
]

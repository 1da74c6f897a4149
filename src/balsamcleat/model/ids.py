"""Identifier types that are shared by all packages of balsamcleat."""

from typing import NewType

__all__ = [
    "AttemptId",
    "ConfigurationVersion",
    "DeploymentName",
    "KeyDigest",
    "RequestId",
    "ServiceName",
    "StepId",
    "TargetId",
    "TeamName",
    "VmId",
    "WeightVersion",
    "ZoneName",
]

VmId = NewType("VmId", str)
ZoneName = NewType("ZoneName", str)
TargetId = NewType("TargetId", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
# SHA-256 digest of a team's key, in lower-case hexadecimal digits.
KeyDigest = NewType("KeyDigest", str)
DeploymentName = NewType("DeploymentName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
StepId = NewType("StepId", str)

# Versions increase by one; 0 means that there is no version yet.
WeightVersion = NewType("WeightVersion", int)
ConfigurationVersion = NewType("ConfigurationVersion", int)

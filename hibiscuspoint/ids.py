"""Identifiers used across the packages."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AvailabilityZone",
    "CallerId",
    "GroupId",
    "Incarnation",
    "InstanceId",
    "RequestId",
    "TargetId",
    "Term",
]

AvailabilityZone = NewType("AvailabilityZone", str)
CallerId = NewType("CallerId", str)
GroupId = NewType("GroupId", str)
InstanceId = NewType("InstanceId", str)
RequestId = NewType("RequestId", str)
TargetId = NewType("TargetId", str)

Incarnation = NewType("Incarnation", int)
Term = NewType("Term", int)

"""Identifiers used across the packages."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "NO_ORGANISATION",
    "AvailabilityZone",
    "CallerId",
    "GroupId",
    "Incarnation",
    "InstanceId",
    "OrganisationId",
    "RequestId",
    "TargetId",
    "Term",
]

AvailabilityZone = NewType("AvailabilityZone", str)
CallerId = NewType("CallerId", str)
GroupId = NewType("GroupId", str)
InstanceId = NewType("InstanceId", str)
OrganisationId = NewType("OrganisationId", str)
RequestId = NewType("RequestId", str)
TargetId = NewType("TargetId", str)

#: Organisation of the connections where the configuration lists no organisations.
NO_ORGANISATION = OrganisationId("")

Incarnation = NewType("Incarnation", int)
Term = NewType("Term", int)

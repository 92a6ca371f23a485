"""Identifiers used across the packages."""

from __future__ import annotations

from typing import NamedTuple, NewType

__all__ = [
    "NO_ORGANISATION",
    "AvailabilityZone",
    "CallerId",
    "EntryProcess",
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


class EntryProcess(NamedTuple):
    """One start of an instance.

    What a promise rests on is kept under this and not under the instance alone: a process knows
    nothing of what the former one did.
    """

    instance: InstanceId
    incarnation: Incarnation

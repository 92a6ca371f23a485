"""Raft consensus: the replicated log of the control group, without I/O."""

from __future__ import annotations

from hibiscuspoint.core.consensus.entries import Command, Entry, HardState, RecoveredState, Snapshot
from hibiscuspoint.core.consensus.membership import Configuration, DiskId, Member
from hibiscuspoint.core.consensus.messages import Message
from hibiscuspoint.core.consensus.node import Node, Proposal
from hibiscuspoint.core.consensus.repair import RepairPhase, RepairProgress
from hibiscuspoint.core.consensus.state import Role

__all__ = [
    "Command",
    "Configuration",
    "DiskId",
    "Entry",
    "HardState",
    "Member",
    "Message",
    "Node",
    "Proposal",
    "RecoveredState",
    "RepairPhase",
    "RepairProgress",
    "Role",
    "Snapshot",
]

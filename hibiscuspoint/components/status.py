"""The status that the control leader reports to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from hibiscuspoint.components.control import Control
    from hibiscuspoint.core.control import ControlLeader, GroupRecord
    from hibiscuspoint.core.control.targets import TargetInfo

__all__ = ["build_status"]


def build_status(environment: str, control: Control) -> peer_pb2.StatusReply:
    """Return the state that the leader knows.

    :param control: the component of the instance that leads.
    """
    leader = control.leader
    now = control.clock.monotonic()
    reply = peer_pb2.StatusReply(
        environment=environment,
        leader=control.log.leader or "",
        control_term=control.log.control_term,
    )
    document = control.state.document
    if document is not None:
        reply.document_number = document.number
        reply.document_digest = document.digest
    for record in control.state.groups.values():
        reply.groups.append(_group(leader, record, now))
    for entry in leader.entries.all:
        reply.instances.append(
            peer_pb2.InstanceStatus(
                instance=entry.instance,
                availability_zone=entry.availability_zone,
                address=entry.address,
                document_number=entry.document_number,
                draining=entry.draining,
                silent_ms=int((now - entry.seen_at) * MILLISECONDS_PER_SECOND),
            )
        )
    for member in control.log.members():
        reply.control.append(
            peer_pb2.ControlMemberStatus(
                instance=member.instance, role=member.role, match_index=member.match_index
            )
        )
    return reply


def _group(leader: ControlLeader, record: GroupRecord, now: float) -> peer_pb2.GroupStatus:
    status = peer_pb2.GroupStatus(
        group=record.group,
        term=record.term,
        primary=record.primary or "",
        phase=record.phase.value,
    )
    for info in leader.targets.of_group(record.group):
        status.targets.append(_target(leader, record, info, now))
    for instance in leader.holders(record.group):
        entry = leader.entries.get(instance)
        address = entry.address if entry is not None else ""
        status.holders.append(peer_pb2.Holder(instance=instance, address=address))
    return status


def _target(
    leader: ControlLeader, record: GroupRecord, info: TargetInfo, now: float
) -> peer_pb2.TargetStatus:
    status = peer_pb2.TargetStatus(
        target=info.target,
        address=info.address,
        availability_zone=info.availability_zone,
        primary=info.is_primary and info.term == record.term,
        term=info.term,
        received=position_message(info.received),
        applied=info.applied,
        silent_ms=int((now - info.seen_at) * MILLISECONDS_PER_SECOND),
        leaving=info.leaving,
    )
    allocator = leader.allocators.get(record.group)
    for instance in record.holders if allocator is not None else ():
        granted, _ = allocator.share(info.target, instance)
        use = allocator.connection_use(info.target, instance)
        status.shares.append(
            peer_pb2.TargetShare(
                instance=instance,
                granted=granted,
                open_connections=use.open_connections,
                demand=use.demand,
            )
        )
    return status

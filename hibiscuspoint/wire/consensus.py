"""Conversion of consensus messages and disk records to and from protobuf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus import messages
from hibiscuspoint.core.consensus.entries import Command, Entry, HardState, NoOp, Snapshot
from hibiscuspoint.core.consensus.membership import Configuration, DiskId, Member
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.wire import consensus_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "decode_entry",
    "decode_hard_state",
    "decode_message",
    "decode_snapshot",
    "encode_entry",
    "encode_hard_state",
    "encode_message",
    "encode_snapshot",
]


def encode_entry(entry: Entry) -> pb.Entry:
    """Encode a log entry; a no-op entry has no payload."""
    encoded = pb.Entry(index=entry.index, term=entry.term)
    match entry.payload:
        case Command(data):
            encoded.command = data
        case Configuration() as configuration:
            encoded.configuration.CopyFrom(_encode_configuration(configuration))
    return encoded


def decode_entry(encoded: pb.Entry) -> Entry:
    """Decode a log entry."""
    match encoded.WhichOneof("payload"):
        case "command":
            payload = Command(encoded.command)
        case "configuration":
            payload = _decode_configuration(encoded.configuration)
        case _:
            payload = NoOp()
    return Entry(encoded.index, encoded.term, payload)


def encode_snapshot(snapshot: Snapshot) -> pb.Snapshot:
    """Encode a snapshot."""
    return pb.Snapshot(
        index=snapshot.index,
        term=snapshot.term,
        configuration=_encode_configuration(snapshot.configuration),
        data=snapshot.data,
    )


def decode_snapshot(encoded: pb.Snapshot) -> Snapshot:
    """Decode a snapshot."""
    configuration = _decode_configuration(encoded.configuration)
    return Snapshot(encoded.index, encoded.term, configuration, encoded.data)


def encode_hard_state(hard_state: HardState) -> pb.HardState:
    """Encode a hard state."""
    vote = _encode_member(hard_state.vote) if hard_state.vote else None
    return pb.HardState(term=hard_state.term, vote=vote, group=hard_state.group)


def decode_hard_state(encoded: pb.HardState) -> HardState:
    """Decode a hard state."""
    vote = _decode_member(encoded.vote) if encoded.HasField("vote") else None
    return HardState(encoded.term, vote, encoded.group)


def encode_message(message: messages.Message) -> pb.Envelope:
    """Encode a message with its sender, receiver and body."""
    return pb.Envelope(
        source=_encode_member(message.source),
        target=message.target,
        target_disk=message.target_disk,
        group=message.group,
        term=message.term,
        **_encode_body(message.body),
    )


def decode_message(envelope: pb.Envelope) -> messages.Message:
    """Decode a message.

    :raises ValueError: the body is missing or of an unknown type.
    """
    return messages.Message(
        source=_decode_member(envelope.source),
        target=InstanceId(envelope.target),
        target_disk=DiskId(envelope.target_disk),
        group=envelope.group,
        term=envelope.term,
        body=_decode_body(envelope),
    )


def _encode_member(member: Member) -> pb.Member:
    return pb.Member(instance=member.instance, disk=member.disk)


def _decode_member(encoded: pb.Member) -> Member:
    return Member(InstanceId(encoded.instance), DiskId(encoded.disk))


def _encode_configuration(configuration: Configuration) -> pb.Configuration:
    return pb.Configuration(
        voters=map(_encode_member, sorted(configuration.voters)),
        outgoing=map(_encode_member, sorted(configuration.outgoing)),
        learners=map(_encode_member, sorted(configuration.learners)),
    )


def _decode_configuration(encoded: pb.Configuration) -> Configuration:
    def members(encoded_members: Iterable[pb.Member]) -> frozenset[Member]:
        return frozenset(map(_decode_member, encoded_members))

    return Configuration(
        voters=members(encoded.voters),
        outgoing=members(encoded.outgoing),
        learners=members(encoded.learners),
    )


def _encode_body(body: messages.Body) -> dict[str, object]:
    """Return the field of the envelope that carries the body, as a keyword argument."""
    match body:
        case messages.Probe():
            return {"probe": pb.Probe()}
        case messages.ProbeReply(leader):
            return {"probe_reply": pb.ProbeReply(leader=leader or "")}
        case messages.VoteRequest(term, index, last_term, pre_vote, needs_all):
            request = pb.VoteRequest(
                term=term,
                last_index=index,
                last_term=last_term,
                pre_vote=pre_vote,
                needs_all=needs_all,
            )
            return {"vote_request": request}
        case messages.VoteReply(term, granted, pre_vote, needs_all):
            reply = pb.VoteReply(term=term, granted=granted, pre_vote=pre_vote, needs_all=needs_all)
            return {"vote_reply": reply}
        case messages.AppendRequest():
            return {"append_request": _encode_append(body)}
        case messages.SnapshotRequest(snapshot, sent_at):
            request = pb.SnapshotRequest(snapshot=encode_snapshot(snapshot), sent_at=sent_at)
            return {"snapshot_request": request}
        case messages.AppendReply():
            return {"append_reply": _encode_append_reply(body)}


def _encode_append(request: messages.AppendRequest) -> pb.AppendRequest:
    return pb.AppendRequest(
        prev_index=request.prev_index,
        prev_term=request.prev_term,
        entries=map(encode_entry, request.entries),
        commit_index=request.commit_index,
        sent_at=request.sent_at,
    )


def _encode_append_reply(reply: messages.AppendReply) -> pb.AppendReply:
    return pb.AppendReply(
        success=reply.success,
        index=reply.index,
        sent_at=reply.sent_at,
        conflict_term=reply.conflict_term,
        conflict_index=reply.conflict_index,
    )


def _decode_body(envelope: pb.Envelope) -> messages.Body:
    kind = envelope.WhichOneof("body")
    match kind:
        case "probe":
            return messages.Probe()
        case "probe_reply":
            leader = envelope.probe_reply.leader
            return messages.ProbeReply(InstanceId(leader) if leader else None)
        case "vote_request":
            body = envelope.vote_request
            return messages.VoteRequest(
                body.term, body.last_index, body.last_term, body.pre_vote, body.needs_all
            )
        case "vote_reply":
            body = envelope.vote_reply
            return messages.VoteReply(body.term, body.granted, body.pre_vote, body.needs_all)
        case "append_request":
            return _decode_append(envelope.append_request)
        case "append_reply":
            return _decode_append_reply(envelope.append_reply)
        case "snapshot_request":
            body = envelope.snapshot_request
            return messages.SnapshotRequest(decode_snapshot(body.snapshot), body.sent_at)
    raise ValueError(f"consensus message of {envelope.source.instance} has no body of a known type")


def _decode_append(request: pb.AppendRequest) -> messages.AppendRequest:
    return messages.AppendRequest(
        prev_index=request.prev_index,
        prev_term=request.prev_term,
        entries=tuple(map(decode_entry, request.entries)),
        commit_index=request.commit_index,
        sent_at=request.sent_at,
    )


def _decode_append_reply(reply: pb.AppendReply) -> messages.AppendReply:
    return messages.AppendReply(
        success=reply.success,
        index=reply.index,
        sent_at=reply.sent_at,
        conflict_term=reply.conflict_term,
        conflict_index=reply.conflict_index,
    )

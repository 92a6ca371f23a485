"""The replicated state of the control group and the rules by which commands change it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from hibiscuspoint.core.position import TermHistory
from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, TargetId, Term
from hibiscuspoint.wire import record_pb2

__all__ = ["AcceptedDocument", "ControlState", "GroupPhase", "GroupRecord"]

#: Terms kept for each group; positions of older terms are not clamped.
TERM_HISTORY_LIMIT = 64

#: Accepted documents kept with their text.
DOCUMENT_HISTORY_LIMIT = 64

#: Drains of targets that are kept. There are 590 targets at full size, each with one drain at most;
#: older ones belong to targets that never came back.
DRAIN_LIMIT = 1024


class GroupPhase(Enum):
    """Progress of the promotion that opened the current term of a group."""

    #: The member list is fixed and no term was opened.
    FORMED = "formed"
    #: Members are being sealed at the term.
    SEALING = "sealing"
    #: The primary of the term is chosen and is being promoted.
    CHOSEN = "chosen"
    #: The quorum holds the first record of the term; routes may be granted.
    STARTED = "started"


@dataclass
class GroupRecord:
    """Durable state of one database group."""

    group: GroupId
    members: tuple[TargetId, ...]
    ack_quorum: int
    term: Term = Term(0)
    primary: TargetId | None = None
    phase: GroupPhase = GroupPhase.FORMED
    starts: list[tuple[Term, int]] = field(default_factory=list)
    holders: tuple[InstanceId, ...] = ()

    @property
    def history(self) -> TermHistory:
        """Return the first indexes of the last terms."""
        return TermHistory(self.starts)


@dataclass(frozen=True)
class AcceptedDocument:
    """A document of the environment that the control group accepted."""

    number: int
    digest: str
    text: str
    accepted_at_ms: int


class ControlState:
    """Applies the commands of the control log; every instance computes the same state.

    A command that no longer fits, such as one of a lower term, changes nothing.
    """

    def __init__(self) -> None:
        self._groups: dict[GroupId, GroupRecord] = {}
        self._documents: list[AcceptedDocument] = []
        self._drains: dict[TargetId, record_pb2.DrainTarget] = {}
        self._handlers = {
            "form_group": self._form_group,
            "open_term": self._open_term,
            "choose_primary": self._choose_primary,
            "start_term": self._start_term,
            "accept_document": self._accept_document,
            "set_holders": self._set_holders,
            "drain_target": self._drain_target,
        }

    @property
    def groups(self) -> dict[GroupId, GroupRecord]:
        """Return the groups by id."""
        return self._groups

    @property
    def documents(self) -> list[AcceptedDocument]:
        """Return the accepted documents, oldest first."""
        return self._documents

    @property
    def document(self) -> AcceptedDocument | None:
        """Return the document that was accepted last."""
        return self._documents[-1] if self._documents else None

    def is_drained(self, target: TargetId, incarnation: Incarnation) -> bool:
        """Tell whether an operator takes this incarnation of a target out of service.

        A target that was restarted has another incarnation and is used again.
        """
        drain = self._drains.get(target)
        return drain is not None and drain.incarnation == incarnation

    def apply(self, index: int, command: record_pb2.Command) -> None:
        """Apply a committed command."""
        handler = self._handlers.get(command.WhichOneof("body") or "")
        if handler is not None:
            handler(getattr(command, command.WhichOneof("body")))

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        snapshot = record_pb2.Snapshot()
        for record in self._groups.values():
            snapshot.groups.append(_group_to_message(record))
        for document in self._documents:
            snapshot.documents.append(_document_to_message(document))
        snapshot.drains.extend(self._drains.values())
        return snapshot.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one."""
        snapshot = record_pb2.Snapshot.FromString(data)
        groups = [_group_from_message(message) for message in snapshot.groups]
        self._groups = {record.group: record for record in groups}
        self._documents = [_document_from_message(message) for message in snapshot.documents]
        self._drains = {TargetId(message.target): message for message in snapshot.drains}

    def _form_group(self, body: record_pb2.FormGroup) -> None:
        group = GroupId(body.group)
        if group not in self._groups:
            members = tuple(TargetId(member) for member in body.members)
            self._groups[group] = GroupRecord(group, members, body.ack_quorum)

    def _open_term(self, body: record_pb2.OpenTerm) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None or body.term <= record.term:
            return
        record.term = Term(body.term)
        record.primary = None
        record.phase = GroupPhase.SEALING

    def _choose_primary(self, body: record_pb2.ChoosePrimary) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None or body.term != record.term or record.phase is not GroupPhase.SEALING:
            return
        record.primary = TargetId(body.primary)
        record.phase = GroupPhase.CHOSEN

    def _start_term(self, body: record_pb2.StartTerm) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None or body.term != record.term or record.phase is not GroupPhase.CHOSEN:
            return
        record.phase = GroupPhase.STARTED
        record.starts.append((record.term, body.start))
        del record.starts[:-TERM_HISTORY_LIMIT]

    def _set_holders(self, body: record_pb2.SetHolders) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is not None:
            record.holders = tuple(InstanceId(instance) for instance in body.instances)

    def _drain_target(self, body: record_pb2.DrainTarget) -> None:
        target = TargetId(body.target)
        self._drains.pop(target, None)
        self._drains[target] = body
        for oldest in list(self._drains)[:-DRAIN_LIMIT]:
            del self._drains[oldest]

    def _accept_document(self, body: record_pb2.AcceptDocument) -> None:
        current = self.document.number if self.document else 0
        if body.number != current + 1:
            return
        self._documents.append(_document_from_message(body))
        del self._documents[:-DOCUMENT_HISTORY_LIMIT]


def _group_to_message(record: GroupRecord) -> record_pb2.GroupState:
    return record_pb2.GroupState(
        group=record.group,
        members=record.members,
        ack_quorum=record.ack_quorum,
        term=record.term,
        primary=record.primary or "",
        phase=record.phase.value,
        history_terms=[term for term, _ in record.starts],
        history_starts=[start for _, start in record.starts],
        holders=record.holders,
    )


def _group_from_message(message: record_pb2.GroupState) -> GroupRecord:
    starts = zip(message.history_terms, message.history_starts, strict=True)
    return GroupRecord(
        group=GroupId(message.group),
        members=tuple(TargetId(member) for member in message.members),
        ack_quorum=message.ack_quorum,
        term=Term(message.term),
        primary=TargetId(message.primary) if message.primary else None,
        phase=GroupPhase(message.phase),
        starts=[(Term(term), start) for term, start in starts],
        holders=tuple(InstanceId(instance) for instance in message.holders),
    )


def _document_to_message(document: AcceptedDocument) -> record_pb2.AcceptDocument:
    return record_pb2.AcceptDocument(
        number=document.number,
        digest=document.digest,
        document=document.text,
        accepted_at_ms=document.accepted_at_ms,
    )


def _document_from_message(message: record_pb2.AcceptDocument) -> AcceptedDocument:
    return AcceptedDocument(
        message.number, message.digest, message.document, message.accepted_at_ms
    )

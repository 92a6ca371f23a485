"""Replicated state machine of the control group."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import ZERO_POSITION, TermHistory
from hibiscuspoint.ids import (
    AvailabilityZone,
    GroupId,
    Incarnation,
    InstanceId,
    TargetId,
    Term,
)
from hibiscuspoint.wire import record_pb2
from hibiscuspoint.wire.position import position_from, position_message

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.wire import common_pb2, peer_pb2

__all__ = ["AcceptedDocument", "ControlState", "GroupPhase", "GroupRecord", "TargetRecord"]

#: Terms whose start is kept for each group. Positions of older terms are not clamped to the end of
#: their term.
TERM_HISTORY_LIMIT = 64

#: Accepted documents that are kept with their text.
DOCUMENT_HISTORY_LIMIT = 64

#: Documents that are kept if the highest number wins. Earlier ones are never compared with a
#: submission, and each can be as large as a request.
HIGHEST_HISTORY_LIMIT = 1

#: Drains of targets that are kept. A deployment of full size has 590 targets with at most one drain
#: each; older drains belong to targets that never returned.
DRAIN_LIMIT = 1024


class GroupPhase(Enum):
    """Progress of a group's current term from its opening to its start."""

    #: The member list is fixed and no term has been opened.
    FORMED = "formed"
    #: Members are being sealed at the term.
    SEALING = "sealing"
    #: The primary of the term is chosen and is being promoted.
    CHOSEN = "chosen"
    #: A quorum holds the first record of the term; routes may be granted.
    STARTED = "started"


@dataclass(frozen=True)
class TargetRecord:
    """Last registration of a target, in a group without a fixed member list."""

    target: TargetId
    group: GroupId
    address: str
    availability_zone: AvailabilityZone
    slots: int
    incarnation: Incarnation
    leaving: bool = False

    @classmethod
    def from_message(
        cls, message: record_pb2.RegisterTarget | peer_pb2.Announcement
    ) -> TargetRecord:
        """Return the registration in a command or an announcement."""
        return cls(
            target=TargetId(message.target),
            group=GroupId(message.group),
            address=message.address,
            availability_zone=AvailabilityZone(message.availability_zone),
            slots=message.slots,
            incarnation=Incarnation(message.incarnation),
            leaving=message.leaving,
        )

    def to_message(self) -> record_pb2.RegisterTarget:
        """Return the command that registers the target with this content."""
        return record_pb2.RegisterTarget(
            group=self.group,
            target=self.target,
            address=self.address,
            availability_zone=self.availability_zone,
            slots=self.slots,
            incarnation=self.incarnation,
            leaving=self.leaving,
        )


@dataclass
class GroupRecord:
    """Durable state of one group.

    :param members: targets over which quorums are counted; fixed when the group is formed, empty
        in a group whose targets register themselves.
    :param ack_quorum: members that must have a record before it is acknowledged.
    :param term: current term; 0 before the first one.
    :param primary: primary of the current term; ``None`` until it is chosen.
    :param term_starts: pairs of term and index of its first record, for the last started terms.
    :param holders: entries that may have connections to the targets or a route lease.
    :param former_primary: primary of the last term before the current one that was started.
    :param requested: targets chosen as primary since the last started term.
    :param primary_term: term that the primary of the last started term reported; 0 if it was none.
    :param lost_logs: incarnation of targets that started again; the commits that only it may have
        confirmed are not known to be held elsewhere.
    :param former_end: end of the log of the former primary, once it has stepped down; ``None`` if
        that is not known to have happened.
    :param chosen_position: end of the log for which the primary was chosen; ``None`` if it acted as
        primary then, and once the term has started.
    :param targets: targets that registered themselves; only in a group without a fixed member list.
    """

    group: GroupId
    members: tuple[TargetId, ...]
    ack_quorum: int
    term: Term = Term(0)
    primary: TargetId | None = None
    phase: GroupPhase = GroupPhase.FORMED
    term_starts: list[tuple[Term, int]] = field(default_factory=list)
    holders: tuple[InstanceId, ...] = ()
    former_primary: TargetId | None = None
    targets: dict[TargetId, TargetRecord] = field(default_factory=dict)
    requested: tuple[TargetId, ...] = ()
    primary_term: Term = Term(0)
    lost_logs: dict[TargetId, Incarnation] = field(default_factory=dict)
    former_end: LogPosition | None = None
    chosen_position: LogPosition | None = None

    @property
    def started_term(self) -> Term:
        """Last started term; 0 before the first one."""
        return self.term_starts[-1][0] if self.term_starts else Term(0)

    @property
    def history(self) -> TermHistory:
        """First indexes of the last started terms."""
        return TermHistory(self.term_starts)


@dataclass(frozen=True)
class AcceptedDocument:
    """A document that the control group has accepted.

    :param digest: digest of its text.
    :param accepted_at_ms: wall clock time of its acceptance in milliseconds.
    :param highest_wins: whether any number above the one in force was accepted, not only the next.
    """

    number: int
    digest: str
    text: str
    accepted_at_ms: int
    highest_wins: bool = False


class ControlState:
    """Applies the commands of the control log; every instance computes the same state.

    A command that is out of date, such as one for a lower term, changes nothing.
    """

    def __init__(self) -> None:
        self._groups: dict[GroupId, GroupRecord] = {}
        self._documents: list[AcceptedDocument] = []
        self._drains: dict[TargetId, record_pb2.DrainTarget] = {}
        self._entries: dict[InstanceId, Incarnation] = {}
        self._handlers = {
            "form_group": self._form_group,
            "open_term": self._open_term,
            "choose_primary": self._choose_primary,
            "start_term": self._start_term,
            "accept_document": self._accept_document,
            "set_holders": self._set_holders,
            "drain_target": self._drain_target,
            "register_target": self._register_target,
            "remove_target": self._remove_target,
            "record_former_end": self._record_former_end,
            "record_entry": self._record_entry,
        }

    @property
    def groups(self) -> dict[GroupId, GroupRecord]:
        """Groups by id."""
        return self._groups

    @property
    def entries(self) -> dict[InstanceId, Incarnation]:
        """Processes of entries that may have leases of groups without a fixed member list."""
        return self._entries

    @property
    def documents(self) -> list[AcceptedDocument]:
        """Accepted documents that are kept, oldest first."""
        return self._documents

    @property
    def document(self) -> AcceptedDocument | None:
        """Document that was accepted last; ``None`` before the first one."""
        return self._documents[-1] if self._documents else None

    def is_drained(self, target: TargetId, incarnation: Incarnation) -> bool:
        """Tell whether an operator has drained this incarnation of a target.

        A restarted target has another incarnation and is used again.
        """
        drain = self._drains.get(target)
        return drain is not None and drain.incarnation == incarnation

    def apply(self, index: int, command: record_pb2.Command) -> None:
        """Apply a committed command.

        :param index: index of the command in the control log.
        """
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
        for record in self._groups.values():
            snapshot.targets.extend(target.to_message() for target in record.targets.values())
        snapshot.drains.extend(self._drains.values())
        for instance, incarnation in self._entries.items():
            snapshot.entries.add(instance=instance, incarnation=incarnation)
        return snapshot.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one.

        :param data: result of :meth:`snapshot`.
        """
        snapshot = record_pb2.Snapshot.FromString(data)
        groups = [_group_from_message(message) for message in snapshot.groups]
        self._groups = {record.group: record for record in groups}
        self._documents = [_document_from_message(message) for message in snapshot.documents]
        self._drains = {TargetId(message.target): message for message in snapshot.drains}
        self._entries = {
            InstanceId(message.instance): Incarnation(message.incarnation)
            for message in snapshot.entries
        }
        for message in snapshot.targets:
            target = TargetRecord.from_message(message)
            self._groups[target.group].targets[target.target] = target

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
        if record.phase is GroupPhase.STARTED:
            # A primary that was only chosen may be the one that holds the last commits.
            record.former_primary = record.primary or record.former_primary
        record.primary = None
        record.phase = GroupPhase.SEALING

    def _choose_primary(self, body: record_pb2.ChoosePrimary) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None or body.term != record.term or record.phase is not GroupPhase.SEALING:
            return
        record.primary = TargetId(body.primary)
        record.chosen_position = position_from(body.position) if body.HasField("position") else None
        record.phase = GroupPhase.CHOSEN
        if record.primary not in record.requested:
            record.requested = (*record.requested, record.primary)

    def _start_term(self, body: record_pb2.StartTerm) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None or body.term != record.term or record.phase is not GroupPhase.CHOSEN:
            return
        record.phase = GroupPhase.STARTED
        record.requested = ()
        record.former_end = record.chosen_position = None
        record.primary_term = Term(body.target_term)
        record.term_starts.append((record.term, body.start))
        del record.term_starts[:-TERM_HISTORY_LIMIT]

    def _set_holders(self, body: record_pb2.SetHolders) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is not None:
            record.holders = tuple(InstanceId(instance) for instance in body.instances)

    def _register_target(self, body: record_pb2.RegisterTarget) -> None:
        registered = TargetRecord.from_message(body)
        record = self._groups.setdefault(
            registered.group, GroupRecord(registered.group, members=(), ack_quorum=0)
        )
        known = record.targets.get(registered.target)
        if known is not None and known.incarnation > registered.incarnation:
            return
        if known is not None and known.incarnation < registered.incarnation:
            record.lost_logs[registered.target] = known.incarnation
            if record.phase is GroupPhase.CHOSEN and record.primary == registered.target:
                # It was chosen for its log, which it may have lost.
                record.primary = None
        record.targets[registered.target] = registered

    def _remove_target(self, body: record_pb2.RemoveTarget) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is None:
            return
        target = TargetId(body.target)
        known = record.targets.get(target)
        if known is not None and known.incarnation <= body.incarnation:
            del record.targets[target]
        if record.lost_logs.get(target, math.inf) <= body.incarnation:
            del record.lost_logs[target]

    def _record_former_end(self, body: record_pb2.RecordFormerEnd) -> None:
        record = self._groups.get(GroupId(body.group))
        if record is not None and body.started_term == record.started_term:
            record.former_end = max(record.former_end or ZERO_POSITION, position_from(body.end))

    def _record_entry(self, body: record_pb2.RecordEntry) -> None:
        if body.incarnation:
            self._entries[InstanceId(body.instance)] = Incarnation(body.incarnation)
        else:
            self._entries.pop(InstanceId(body.instance), None)

    def _drain_target(self, body: record_pb2.DrainTarget) -> None:
        target = TargetId(body.target)
        self._drains.pop(target, None)
        self._drains[target] = body
        for oldest in list(self._drains)[:-DRAIN_LIMIT]:
            del self._drains[oldest]

    def _accept_document(self, body: record_pb2.AcceptDocument) -> None:
        current = self.document.number if self.document else 0
        is_next = body.number > current if body.highest_wins else body.number == current + 1
        if not is_next:
            return
        self._documents.append(_document_from_message(body))
        limit = HIGHEST_HISTORY_LIMIT if body.highest_wins else DOCUMENT_HISTORY_LIMIT
        del self._documents[:-limit]


def _group_to_message(record: GroupRecord) -> record_pb2.GroupState:
    return record_pb2.GroupState(
        group=record.group,
        members=record.members,
        ack_quorum=record.ack_quorum,
        term=record.term,
        primary=record.primary or "",
        phase=record.phase.value,
        history_terms=[term for term, _ in record.term_starts],
        history_starts=[start for _, start in record.term_starts],
        holders=record.holders,
        former=record.former_primary or "",
        requested=record.requested,
        primary_term=record.primary_term,
        lost_logs=record.lost_logs,
        former_end=_optional_position(record.former_end),
        chosen_position=_optional_position(record.chosen_position),
    )


def _optional_position(position: LogPosition | None) -> common_pb2.Position | None:
    return position_message(position) if position is not None else None


def _group_from_message(message: record_pb2.GroupState) -> GroupRecord:
    starts = zip(message.history_terms, message.history_starts, strict=True)
    return GroupRecord(
        group=GroupId(message.group),
        members=tuple(TargetId(member) for member in message.members),
        ack_quorum=message.ack_quorum,
        term=Term(message.term),
        primary=TargetId(message.primary) if message.primary else None,
        phase=GroupPhase(message.phase),
        term_starts=[(Term(term), start) for term, start in starts],
        holders=tuple(InstanceId(instance) for instance in message.holders),
        former_primary=TargetId(message.former) if message.former else None,
        requested=tuple(TargetId(target) for target in message.requested),
        primary_term=Term(message.primary_term),
        lost_logs={TargetId(t): Incarnation(i) for t, i in message.lost_logs.items()},
        former_end=position_from(message.former_end) if message.HasField("former_end") else None,
        chosen_position=(
            position_from(message.chosen_position) if message.HasField("chosen_position") else None
        ),
    )


def _document_to_message(document: AcceptedDocument) -> record_pb2.AcceptDocument:
    return record_pb2.AcceptDocument(
        number=document.number,
        digest=document.digest,
        document=document.text,
        accepted_at_ms=document.accepted_at_ms,
        highest_wins=document.highest_wins,
    )


def _document_from_message(message: record_pb2.AcceptDocument) -> AcceptedDocument:
    return AcceptedDocument(
        message.number,
        message.digest,
        message.document,
        message.accepted_at_ms,
        message.highest_wins,
    )

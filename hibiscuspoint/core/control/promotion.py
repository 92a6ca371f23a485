"""The promotion of a new primary of one group: seal, choose, promote and start."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.effects import Follow, MemberAddress, Promote, Propose, Seal
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.control.effects import Effect
    from hibiscuspoint.core.control.state import GroupRecord
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import TargetId, Term

__all__ = ["MemberReply", "PromotionSteps"]

#: Seconds between two seal requests to the same member.
SEAL_RETRY_SECONDS = 0.1

#: Seconds between two requests to the same member to join the term. The reply tells whether the
#: member holds the first record of the term.
JOIN_RETRY_SECONDS = 0.03

#: Seconds to wait for further members once a quorum is sealed, so that a preferred member whose
#: reply is slower can be chosen.
SEAL_GRACE_SECONDS = 0.1

#: Seconds without a reply from the chosen primary after which another one is chosen.
PROMOTE_TIMEOUT_SECONDS = 1.0

#: Seconds after which a proposal that was not applied is made again.
PROPOSAL_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class MemberReply:
    """Reply of a member to a seal, a promotion or a request to follow.

    :param target: the member.
    :param accepted: whether the member carried the request out.
    :param sealed_term: term at which the member is sealed; it refuses requests of lower terms.
    :param last_position: position of the last record in the member's log.
    :param listed_members: members that the promotion listed; empty for other requests.
    """

    target: TargetId
    accepted: bool
    sealed_term: Term
    last_position: LogPosition
    listed_members: tuple[MemberAddress, ...] = ()


@dataclass
class _Round:
    """Replies that were received for one term; times are monotonic and in seconds.

    :param sealed: last position of each member that is sealed at the term.
    :param requested_at: time of the last request to each member.
    :param joined: log position of each member at its first reply that showed a record of the term.
    :param higher_term: highest term above this one at which a member is sealed; 0 for none.
    """

    term: Term
    started_at: float
    sealed: dict[TargetId, LogPosition] = field(default_factory=dict)
    quorum_sealed_at: float | None = None
    requested_at: dict[TargetId, float] = field(default_factory=dict)
    joined: dict[TargetId, LogPosition] = field(default_factory=dict)
    primary_replied_at: float = 0.0
    higher_term: int = 0


class PromotionSteps:
    """Takes one group from an opened term to a started one (design D4).

    The durable record holds the steps that are complete. The replies of members are soft state: a
    new leader requests them again.

    :param record: durable record of the group; changes as commands are applied.
    :param now: monotonic time in seconds.
    """

    def __init__(self, record: GroupRecord, now: float) -> None:
        self._record = record
        self._round = _Round(record.term, now)
        self._proposed_at: dict[str, float] = {}

    @property
    def seal_quorum(self) -> int:
        """Number of sealed members that intersects every acknowledgement quorum.

        Every acknowledged record is therefore in the log of at least one sealed member.
        """
        return len(self._record.members) - self._record.ack_quorum + 1

    def open_term(self, above: int, now: float) -> list[Effect]:
        """Propose a new term, higher than the current one and than ``above``."""
        term = max(self._record.term, above) + 1
        body = record_pb2.OpenTerm(group=self._record.group, term=term)
        return self._propose("open_term", record_pb2.Command(open_term=body), now)

    def record_seal_reply(self, reply: MemberReply, now: float) -> None:
        """Record the reply of a member to a seal."""
        current = self._current_round(now)
        if reply.sealed_term > current.term:
            current.higher_term = max(current.higher_term, reply.sealed_term)
        if not reply.accepted or reply.sealed_term != current.term:
            return
        current.sealed[reply.target] = reply.last_position
        if len(current.sealed) >= self.seal_quorum and current.quorum_sealed_at is None:
            current.quorum_sealed_at = now

    def record_join_reply(self, reply: MemberReply, now: float) -> None:
        """Record the reply of a member to a promotion or a request to follow."""
        current = self._current_round(now)
        if reply.sealed_term > current.term:
            current.higher_term = max(current.higher_term, reply.sealed_term)
        if reply.target == self._record.primary and reply.accepted:
            current.primary_replied_at = now
        if reply.accepted and reply.last_position.term == current.term:
            current.joined.setdefault(reply.target, reply.last_position)

    def seal_members(
        self,
        addresses: dict[TargetId, MemberAddress],
        preference: Callable[[TargetId], tuple[int, ...]],
        live: set[TargetId],
        now: float,
    ) -> list[Effect]:
        """Seal members, and choose the primary once enough of them are sealed.

        :param addresses: addresses of the members that are known.
        :param preference: sort key of members with equal logs; the highest is chosen.
        :param live: members that announce themselves. The choice does not wait for others.
        """
        current = self._current_round(now)
        if current.higher_term:
            return self.open_term(current.higher_term, now)
        if self._may_choose(live, now):
            return self._choose(preference, now)
        missing = [target for target in self._record.members if target not in current.sealed]
        return [
            Seal(self._record.group, addresses[target], current.term)
            for target in missing
            if target in addresses and self._is_due(target, SEAL_RETRY_SECONDS, now)
        ]

    def promote_primary(
        self, addresses: dict[TargetId, MemberAddress], has_no_older_lease: bool, now: float
    ) -> list[Effect]:
        """Promote the chosen member, make the others follow it, and start the term.

        :param addresses: addresses of the members that are known.
        :param has_no_older_lease: whether no entry can still use a primary of an older term.
        """
        current = self._current_round(now)
        if current.higher_term:
            return self.open_term(current.higher_term, now)
        if now - max(current.primary_replied_at, current.started_at) > PROMOTE_TIMEOUT_SECONDS:
            return self.open_term(0, now)
        if self._may_start() and has_no_older_lease:
            return self._start(now)
        return self._request_joins(addresses, now)

    def _request_joins(self, addresses: dict[TargetId, MemberAddress], now: float) -> list[Effect]:
        """Request that the primary and its followers join the term."""
        primary = addresses.get(self._record.primary)
        if primary is None:
            return []
        effects: list[Effect] = []
        for target in self._record.members:
            if target not in addresses or not self._is_due(target, JOIN_RETRY_SECONDS, now):
                continue
            effects.append(self._join_request(addresses[target], primary, addresses))
        return effects

    def _join_request(
        self,
        member: MemberAddress,
        primary: MemberAddress,
        addresses: dict[TargetId, MemberAddress],
    ) -> Effect:
        group, term = self._record.group, self._record.term
        if member.target != primary.target:
            return Follow(group, member, term, primary)
        members = tuple(addresses[t] for t in self._record.members if t in addresses)
        return Promote(group, member, term, members)

    def _may_choose(self, live: set[TargetId], now: float) -> bool:
        """Tell whether enough members are sealed, and all live ones are or had time to reply."""
        current = self._round
        if current.quorum_sealed_at is None:
            return False
        if live <= current.sealed.keys():
            return True
        return now - current.quorum_sealed_at >= SEAL_GRACE_SECONDS

    def _choose(
        self, preference: Callable[[TargetId], tuple[int, ...]], now: float
    ) -> list[Effect]:
        """Propose the sealed member with the longest log, which has every acknowledged record."""
        sealed = self._round.sealed
        best = max(sealed, key=lambda target: (sealed[target], preference(target)))
        body = record_pb2.ChoosePrimary(
            group=self._record.group, term=self._record.term, primary=best
        )
        return self._propose("choose_primary", record_pb2.Command(choose_primary=body), now)

    def _may_start(self) -> bool:
        """Tell whether a quorum that includes the primary holds the first record of the term."""
        joined = self._round.joined
        return self._record.primary in joined and len(joined) >= self._record.ack_quorum

    def _start(self, now: float) -> list[Effect]:
        # Entries receive no route of this term before it starts, so the last record of the primary
        # is the first record of the term.
        start = self._round.joined[self._record.primary].index
        body = record_pb2.StartTerm(group=self._record.group, term=self._record.term, start=start)
        return self._propose("start_term", record_pb2.Command(start_term=body), now)

    def _propose(self, name: str, command: record_pb2.Command, now: float) -> list[Effect]:
        proposed_at = self._proposed_at.get(name)
        if proposed_at is not None and now - proposed_at < PROPOSAL_RETRY_SECONDS:
            return []
        self._proposed_at[name] = now
        return [Propose(command)]

    def _is_due(self, target: TargetId, interval: float, now: float) -> bool:
        """Tell whether a request may be sent to a member again, and record that it is."""
        requested_at = self._round.requested_at.get(target)
        if requested_at is not None and now - requested_at < interval:
            return False
        self._round.requested_at[target] = now
        return True

    def _current_round(self, now: float) -> _Round:
        """Return the state of the current term, which is empty after the term has changed."""
        if self._round.term != self._record.term:
            self._round = _Round(self._record.term, now)
            self._proposed_at.clear()
        return self._round

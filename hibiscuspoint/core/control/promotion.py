"""The promotion of a new primary of one group, step by step."""

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

#: Seconds between two seals of the same member.
SEAL_RETRY_SECONDS = 0.1

#: Seconds between two questions whether a member holds the first record of the term.
JOIN_RETRY_SECONDS = 0.03

#: Seconds to wait for further sealed members once enough are sealed, so that the preferred member
#: has a chance to answer.
SEAL_GRACE_SECONDS = 0.1

#: Seconds without an answer of the chosen primary after which another one is chosen.
PROMOTE_TIMEOUT_SECONDS = 1.0

#: Seconds after which a proposal that did not take effect is made again.
PROPOSAL_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class MemberReply:
    """Answer of a member to a step.

    :param last_position: last record of its log.
    :param listed_members: members that the answered promotion listed; empty for other steps.
    """

    target: TargetId
    accepted: bool
    sealed_term: Term
    last_position: LogPosition
    listed_members: tuple[MemberAddress, ...] = ()


@dataclass
class _Round:
    """Soft state of the steps of one term."""

    term: Term
    since: float
    sealed: dict[TargetId, LogPosition] = field(default_factory=dict)
    quorum_sealed_at: float | None = None
    attempts: dict[TargetId, float] = field(default_factory=dict)
    joined: dict[TargetId, LogPosition] = field(default_factory=dict)
    primary_answered_at: float = 0.0
    higher_term: int = 0


class PromotionSteps:
    """Leads one group from an opened term to a started one (design D4).

    The steps up to now are in the durable record; what is lost with the leader is asked again.

    :param record: durable record of the group; changes as commands are applied.
    """

    def __init__(self, record: GroupRecord, now: float) -> None:
        self._record = record
        self._round = _Round(record.term, now)
        self._proposed: dict[str, float] = {}

    @property
    def seal_quorum(self) -> int:
        """Return how many sealed members intersect every set of ``ack_quorum`` members."""
        return len(self._record.members) - self._record.ack_quorum + 1

    def open_term(self, above: int, now: float) -> list[Effect]:
        """Propose the next term, higher than ``above``."""
        term = max(self._record.term, above) + 1
        body = record_pb2.OpenTerm(group=self._record.group, term=term)
        return self._propose("open_term", record_pb2.Command(open_term=body), now)

    def record_seal_reply(self, reply: MemberReply, now: float) -> None:
        """Take the answer of a member to a seal."""
        current = self._current_round(now)
        if reply.sealed_term > current.term:
            current.higher_term = max(current.higher_term, reply.sealed_term)
        if not reply.accepted or reply.sealed_term != current.term:
            return
        current.sealed[reply.target] = reply.last_position
        if len(current.sealed) >= self.seal_quorum and current.quorum_sealed_at is None:
            current.quorum_sealed_at = now

    def record_join_reply(self, reply: MemberReply, now: float) -> None:
        """Take the answer of a member to a promotion or to following."""
        current = self._current_round(now)
        if reply.sealed_term > current.term:
            current.higher_term = max(current.higher_term, reply.sealed_term)
        if reply.target == self._record.primary and reply.accepted:
            current.primary_answered_at = now
        if reply.accepted and reply.last_position.term == current.term:
            current.joined.setdefault(reply.target, reply.last_position)

    def seal_members(
        self,
        addresses: dict[TargetId, MemberAddress],
        preference: Callable[[TargetId], tuple[int, ...]],
        live: set[TargetId],
        now: float,
    ) -> list[Effect]:
        """Seal members and choose the primary once enough are sealed.

        :param preference: orders members with equal logs; the highest is chosen.
        :param live: members that announce themselves.
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
        self, addresses: dict[TargetId, MemberAddress], leases_clear: bool, now: float
    ) -> list[Effect]:
        """Promote the chosen member, make the others follow, and start the term.

        :param leases_clear: no entry can still use a primary of an older term.
        """
        current = self._current_round(now)
        if current.higher_term:
            return self.open_term(current.higher_term, now)
        if now - max(current.primary_answered_at, current.since) > PROMOTE_TIMEOUT_SECONDS:
            return self.open_term(0, now)
        if self._may_start() and leases_clear:
            return self._start(now)
        return self._ask_to_join(addresses, now)

    def _ask_to_join(self, addresses: dict[TargetId, MemberAddress], now: float) -> list[Effect]:
        primary = addresses.get(self._record.primary)
        if primary is None:
            return []
        effects: list[Effect] = []
        for target in self._record.members:
            if target not in addresses or not self._is_due(target, JOIN_RETRY_SECONDS, now):
                continue
            effects.append(self._join_step(addresses[target], primary, addresses))
        return effects

    def _join_step(
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
        current = self._round
        if current.quorum_sealed_at is None:
            return False
        if live <= current.sealed.keys():
            return True
        return now - current.quorum_sealed_at >= SEAL_GRACE_SECONDS

    def _choose(
        self, preference: Callable[[TargetId], tuple[int, ...]], now: float
    ) -> list[Effect]:
        sealed = self._round.sealed
        best = max(sealed, key=lambda target: (sealed[target], preference(target)))
        body = record_pb2.ChoosePrimary(
            group=self._record.group, term=self._record.term, primary=best
        )
        return self._propose("choose_primary", record_pb2.Command(choose_primary=body), now)

    def _may_start(self) -> bool:
        joined = self._round.joined
        return self._record.primary in joined and len(joined) >= self._record.ack_quorum

    def _start(self, now: float) -> list[Effect]:
        # No route of this term exists yet, so the primary holds only the first record of the term.
        start = self._round.joined[self._record.primary].index
        body = record_pb2.StartTerm(group=self._record.group, term=self._record.term, start=start)
        return self._propose("start_term", record_pb2.Command(start_term=body), now)

    def _propose(self, name: str, command: record_pb2.Command, now: float) -> list[Effect]:
        last = self._proposed.get(name)
        if last is not None and now - last < PROPOSAL_RETRY_SECONDS:
            return []
        self._proposed[name] = now
        return [Propose(command)]

    def _is_due(self, target: TargetId, interval: float, now: float) -> bool:
        last = self._round.attempts.get(target)
        if last is not None and now - last < interval:
            return False
        self._round.attempts[target] = now
        return True

    def _current_round(self, now: float) -> _Round:
        if self._round.term != self._record.term:
            self._round = _Round(self._record.term, now)
            self._proposed.clear()
        return self._round

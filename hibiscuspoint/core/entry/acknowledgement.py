"""Confirmation of log positions by a quorum of members (design D3)."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from hibiscuspoint.core.position import TermHistory
from hibiscuspoint.ids import Term

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.ids import TargetId

__all__ = ["AckTracker"]


class AckTracker:
    """Highest index of the current term that a quorum of members holds.

    A member counts only when its last received record was written in the current term, as in
    Raft's commit rule: a record of an older term on a quorum can still be overwritten.

    :param quorum: members that must hold a record, the primary counted.
    """

    def __init__(self, quorum: int) -> None:
        self._quorum = quorum
        self._term = Term(0)
        self._history = TermHistory()
        self._starts: dict[Term, int] = {}
        self._received: dict[TargetId, int] = {}
        self._confirmed = 0
        # Waiters by index; the sequence number keeps equal indexes in order of arrival.
        self._waiting: list[tuple[int, int, object]] = []
        self._sequence = 0
        self._failed: list[object] = []

    def start_term(self, term: Term, history: TermHistory, members: Iterable[TargetId]) -> None:
        """Begin a term, or update the members of the current one; a lower term is ignored.

        Waiters of an earlier term fail: their primary was replaced (guarantee G2).
        """
        if term < self._term:
            return
        known = self._received if term == self._term else {}
        if term > self._term:
            self._fail_waiting()
            self._confirmed = 0
        self._term = term
        self._history = history
        self._starts = dict(history.starts)
        self._received = {member: known.get(member, 0) for member in members}
        self._recount()

    def observe(self, target: TargetId, term: Term, received: LogPosition) -> None:
        """Record the term and the last durable record that a member reports."""
        if term != self._term or received.term != self._term:
            return
        # A target that is no member never counts; reports may arrive out of order.
        if received.index <= self._received.get(target, received.index):
            return
        self._received[target] = received.index
        self._recount()

    def is_confirmed(self, position: LogPosition) -> bool:
        """Tell whether a quorum holds the very record of this position.

        Unlike a session mark, a lost position of an old term is not clamped: clamping would
        acknowledge a write that the promotion removed.
        """
        return position.index <= self._confirmed and self._is_in_log(position)

    def add_waiter(self, position: LogPosition, waiter: object) -> None:
        """Register a waiter for the confirmation of a position."""
        if not self._is_in_log(position):
            self._failed.append(waiter)
            return
        self._sequence += 1
        heapq.heappush(self._waiting, (position.index, self._sequence, waiter))

    def pop_confirmed_waiters(self) -> list[object]:
        """Return and forget the waiters whose position is confirmed."""
        taken = []
        while self._waiting and self._waiting[0][0] <= self._confirmed:
            taken.append(heapq.heappop(self._waiting)[2])
        return taken

    def pop_failed_waiters(self) -> list[object]:
        """Return and forget the waiters whose position cannot be confirmed any more."""
        failed, self._failed = self._failed, []
        return failed

    def _fail_waiting(self) -> None:
        self._failed += [waiter for _, _, waiter in sorted(self._waiting, key=lambda w: w[1])]
        self._waiting.clear()

    def _is_in_log(self, position: LogPosition) -> bool:
        """Tell whether the log of the current term contains this record."""
        if position.index == 0 or position.term == self._term:
            return self._term > 0
        if position.term not in self._starts:
            return False
        return self._history.clamp(position) == position.index

    def _recount(self) -> None:
        if len(self._received) < self._quorum:
            return
        held = sorted(self._received.values(), reverse=True)[self._quorum - 1]
        self._confirmed = max(self._confirmed, held)

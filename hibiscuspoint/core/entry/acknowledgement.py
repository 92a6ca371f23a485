"""Confirmation of log positions by a quorum of group members (design D3)."""

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
    """Tracks which log positions a quorum has stored and the waiters for their confirmation.

    A member counts only if its last received record was written in the current term, as in the
    commit rule of Raft: a record of an older term may still be overwritten although a quorum has
    stored it.

    :param quorum: number of members that must store a record, including the primary.
    """

    def __init__(self, quorum: int) -> None:
        self._quorum = quorum
        self._term = Term(0)
        self._history = TermHistory()
        self._term_starts: dict[Term, int] = {}
        self._received: dict[TargetId, int] = {}
        self._confirmed_index = 0
        # Heap of (index, sequence number, waiter). The sequence number keeps waiters for the same
        # index in order of arrival.
        self._waiters: list[tuple[int, int, object]] = []
        self._sequence = 0
        self._failed_waiters: list[object] = []

    def start_term(self, term: Term, history: TermHistory, members: Iterable[TargetId]) -> None:
        """Start a term, or update the members of the current one; a lower term is ignored.

        The waiters of an earlier term fail, as their primary was replaced (guarantee G2).

        :param history: start indexes of the terms in the log of the new term.
        :param members: members of the group, including the primary.
        """
        if term < self._term:
            return
        received = self._received if term == self._term else {}
        if term > self._term:
            self._fail_waiters()
            self._confirmed_index = 0
        self._term = term
        self._history = history
        self._term_starts = dict(history.starts)
        self._received = {member: received.get(member, 0) for member in members}
        self._update_confirmed()

    def observe(self, target: TargetId, term: Term, received: LogPosition) -> None:
        """Record the term and the last durable record that a member reports.

        :param received: position of the last record that the member has stored durably.
        """
        if term != self._term or received.term != self._term:
            return
        # Ignores a target that is not a member, and a report that arrives out of order.
        if received.index <= self._received.get(target, received.index):
            return
        self._received[target] = received.index
        self._update_confirmed()

    def is_confirmed(self, position: LogPosition) -> bool:
        """Return whether a quorum has stored exactly the record of this position.

        Unlike a session mark, a position of an old term that the current log does not contain is
        not clamped to it: clamping would acknowledge a write that the promotion removed.
        """
        return position.index <= self._confirmed_index and self._is_in_log(position)

    def add_waiter(self, position: LogPosition, waiter: object) -> None:
        """Register a waiter for the confirmation of a position.

        The waiter fails at once if the log of the current term does not contain the position.
        """
        if not self._is_in_log(position):
            self._failed_waiters.append(waiter)
            return
        self._sequence += 1
        heapq.heappush(self._waiters, (position.index, self._sequence, waiter))

    def pop_confirmed_waiters(self) -> list[object]:
        """Remove and return the waiters whose position is confirmed."""
        confirmed = []
        while self._waiters and self._waiters[0][0] <= self._confirmed_index:
            confirmed.append(heapq.heappop(self._waiters)[2])
        return confirmed

    def pop_failed_waiters(self) -> list[object]:
        """Remove and return the waiters whose position can no longer be confirmed."""
        failed, self._failed_waiters = self._failed_waiters, []
        return failed

    def _fail_waiters(self) -> None:
        self._failed_waiters += [
            waiter for _, _, waiter in sorted(self._waiters, key=lambda w: w[1])
        ]
        self._waiters.clear()

    def _is_in_log(self, position: LogPosition) -> bool:
        """Return whether the log of the current term contains the record of this position."""
        if position.index == 0 or position.term == self._term:
            return self._term > 0
        if position.term not in self._term_starts:
            return False
        return self._history.clamp(position) == position.index

    def _update_confirmed(self) -> None:
        if len(self._received) < self._quorum:
            return
        stored_by_quorum = sorted(self._received.values(), reverse=True)[self._quorum - 1]
        self._confirmed_index = max(self._confirmed_index, stored_by_quorum)

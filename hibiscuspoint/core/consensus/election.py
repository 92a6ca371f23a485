"""Pre-vote and votes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.messages import VoteReply, VoteRequest
from hibiscuspoint.core.consensus.state import Role

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.consensus.membership import Member
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.state import NodeState
    from hibiscuspoint.ids import InstanceId

__all__ = ["Election"]


class Election:
    """Election timer, candidacy and the votes this member grants.

    :param state: shared state.
    :param draw: returns a random number in [0, 1).
    :param on_won: called when this member becomes leader.
    """

    def __init__(
        self, state: NodeState, draw: Callable[[], float], on_won: Callable[[], None]
    ) -> None:
        self._state = state
        self._draw = draw
        self._on_won = on_won
        self._votes: set[Member] = set()
        self._deadline = 0.0
        self.reset_timer()

    @property
    def deadline(self) -> float:
        """Return the time of the next election; infinite for a member that may not vote."""
        return self._deadline if self._state.is_voter else float("inf")

    def draw_timeout(self) -> float:
        """Return a random election timeout in seconds."""
        timing = self._state.timing
        return (
            timing.election_timeout_min_seconds
            + (timing.election_timeout_max_seconds - timing.election_timeout_min_seconds)
            * self._draw()
        )

    def reset_timer(self) -> None:
        """Start the election timeout anew."""
        self._deadline = self._state.now + self.draw_timeout()

    def become_follower(self, term: int, leader: InstanceId | None) -> None:
        """Follow a leader, or wait for one when it is unknown."""
        self._state.set_term(term)
        self._state.role = Role.FOLLOWER
        self._state.leader = leader
        self.reset_timer()

    def tick(self) -> None:
        """Ask for pre-votes when the election timeout has passed."""
        state = self._state
        if state.role is Role.LEADER or not state.is_voter:
            return
        if state.now >= self._deadline or state.is_sole_voter:
            self._start_pre_vote()

    def handle_request(self, message: Message, request: VoteRequest) -> None:
        """Grant or refuse a vote."""
        state = self._state
        granted = self._may_grant(message, request)
        if granted and not request.is_pre_vote:
            self._grant(message, request)
        state.send(message.source, VoteReply(request.term, granted, request.is_pre_vote))

    def handle_reply(self, message: Message, reply: VoteReply) -> None:
        """Count a vote."""
        state = self._state
        if reply.is_pre_vote:
            awaited, term = Role.PRE_CANDIDATE, state.hard.term + 1
        else:
            awaited, term = Role.CANDIDATE, state.hard.term
        if state.role is not awaited or reply.term != term or not reply.granted:
            return
        self._votes.add(message.source)
        self._count_votes()

    def _may_grant(self, message: Message, request: VoteRequest) -> bool:
        state = self._state
        if state.has_recent_contact or state.role is Role.LEADER:
            return False
        if not state.log.is_up_to_date(request.last_term, request.last_index):
            return False
        if request.term != state.hard.term or request.is_pre_vote:
            return request.term > state.hard.term
        return state.hard.vote in (None, message.source)

    def _grant(self, message: Message, request: VoteRequest) -> None:
        self.become_follower(request.term, leader=None)
        self._state.join_group(message.group)
        self._state.set_hard_state(replace(self._state.hard, vote=message.source))

    def _start_pre_vote(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._ask_for_votes(state.hard.term + 1, is_pre_vote=True)

    def _start_election(self) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.set_hard_state(replace(state.hard, term=state.hard.term + 1, vote=state.me))
        self._ask_for_votes(state.hard.term, is_pre_vote=False)

    def _ask_for_votes(self, term: int, *, is_pre_vote: bool) -> None:
        state = self._state
        self.reset_timer()
        self._votes = {state.me}
        request = VoteRequest(term, state.log.last_index, state.log.last_term, is_pre_vote)
        for voter in sorted(state.configuration.all_voters - {state.me}):
            state.send(voter, request)
        self._count_votes()

    def _count_votes(self) -> None:
        if not self._state.configuration.has_quorum(self._votes):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self._start_election()
        else:
            self._on_won()

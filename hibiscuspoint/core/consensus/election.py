"""Leader election with pre-vote."""

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
    """Runs the election timer, requests votes and grants them.

    :param state: state of the node.
    :param draw: returns a random number in [0, 1).
    :param on_elected: called when this member wins an election.
    """

    def __init__(
        self, state: NodeState, draw: Callable[[], float], on_elected: Callable[[], None]
    ) -> None:
        self._state = state
        self._draw = draw
        self._on_elected = on_elected
        self._votes: set[Member] = set()
        self._deadline = 0.0
        self.reset_timer()

    @property
    def deadline(self) -> float:
        """Monotonic time at which the election timeout expires; infinite for a non-voter."""
        return self._deadline if self._state.is_voter else float("inf")

    def draw_timeout(self) -> float:
        """Return a random election timeout in seconds within the configured bounds."""
        timing = self._state.timing
        return (
            timing.election_timeout_min_seconds
            + (timing.election_timeout_max_seconds - timing.election_timeout_min_seconds)
            * self._draw()
        )

    def reset_timer(self) -> None:
        """Restart the election timer with a new random timeout."""
        self._deadline = self._state.now + self.draw_timeout()

    def become_follower(self, term: int, leader: InstanceId | None) -> None:
        """Become a follower and enter the term if it is later than the current one.

        :param leader: leader of the term, or ``None`` when it is unknown.
        """
        self._state.advance_term(term)
        self._state.role = Role.FOLLOWER
        self._state.leader = leader
        self.reset_timer()

    def tick(self) -> None:
        """Start a pre-vote when the election timeout has expired; a sole voter does not wait."""
        state = self._state
        if state.role is Role.LEADER or not state.is_voter:
            return
        if state.now >= self._deadline or state.is_sole_voter:
            self._start_pre_vote()

    def handle_vote_request(self, message: Message, request: VoteRequest) -> None:
        """Grant or reject a vote or pre-vote and reply to the candidate."""
        state = self._state
        granted = self._may_grant(message, request)
        if granted and not request.is_pre_vote:
            self._grant(message, request)
        state.send(message.source, VoteReply(request.term, granted, request.is_pre_vote))

    def handle_vote_reply(self, message: Message, reply: VoteReply) -> None:
        """Count a granted vote if it belongs to the election in progress."""
        state = self._state
        if reply.is_pre_vote:
            expected_role, term = Role.PRE_CANDIDATE, state.hard_state.term + 1
        else:
            expected_role, term = Role.CANDIDATE, state.hard_state.term
        if state.role is not expected_role or reply.term != term or not reply.granted:
            return
        self._votes.add(message.source)
        self._count_votes()

    def _may_grant(self, message: Message, request: VoteRequest) -> bool:
        state = self._state
        if state.has_recent_leader_contact or state.role is Role.LEADER:
            return False
        if not state.log.is_candidate_up_to_date(request.last_term, request.last_index):
            return False
        if request.term != state.hard_state.term or request.is_pre_vote:
            return request.term > state.hard_state.term
        return state.hard_state.vote in (None, message.source)

    def _grant(self, message: Message, request: VoteRequest) -> None:
        self.become_follower(request.term, leader=None)
        self._state.join_group(message.group)
        self._state.set_hard_state(replace(self._state.hard_state, vote=message.source))

    def _start_pre_vote(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._request_votes(state.hard_state.term + 1, is_pre_vote=True)

    def _start_election(self) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.set_hard_state(
            replace(state.hard_state, term=state.hard_state.term + 1, vote=state.me)
        )
        self._request_votes(state.hard_state.term, is_pre_vote=False)

    def _request_votes(self, term: int, *, is_pre_vote: bool) -> None:
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
            self._on_elected()

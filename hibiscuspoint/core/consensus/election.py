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

#: Shortest time in seconds between two rounds of pre-votes after a restart of all voters; the
#: longest is twice as long. It covers a round trip between availability zones.
RESTART_ROUND_SECONDS = 0.05

#: Time in seconds after its start in which a member asks for the votes of all voters.
RESTART_WINDOW_SECONDS = 5.0

#: Time in seconds after which an election that needs all votes is given up. It covers the save of a
#: vote on a slow disk.
RESTART_ELECTION_SECONDS = 0.3


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
        self._needs_all = False
        self._deadline = 0.0
        self._restart_round_at = state.now
        self._last_restart_round_at = state.now + RESTART_WINDOW_SECONDS
        self.reset_timer()

    @property
    def deadline(self) -> float:
        """Monotonic time at which the election timeout expires; infinite for a non-voter."""
        if not self._state.is_voter:
            return float("inf")
        if self._may_ask_all:
            return min(self._deadline, self._restart_round_at)
        return self._deadline

    @property
    def _may_ask_all(self) -> bool:
        """Whether no leader has reached this member since its start, as after a restart of all."""
        state = self._state
        is_electing = state.role is Role.CANDIDATE and not self._needs_all
        is_recent = self._restart_round_at < self._last_restart_round_at
        return is_recent and not (
            state.has_heard_leader or is_electing or state.role is Role.LEADER
        )

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
            self.reset_timer()
            self._start_pre_vote(needs_all=False)
        elif self._may_ask_all and state.now >= self._restart_round_at:
            self._start_pre_vote(needs_all=True)

    def handle_vote_request(self, message: Message, request: VoteRequest) -> None:
        """Grant or reject a vote or pre-vote and reply to the candidate."""
        state = self._state
        granted = self._may_grant(message, request)
        if granted:
            if not request.is_pre_vote:
                self._grant(message, request)
            if request.needs_all:
                self._yield_restart_round()
        reply = VoteReply(request.term, granted, request.is_pre_vote, request.needs_all)
        state.send(message.source, reply)

    def handle_vote_reply(self, message: Message, reply: VoteReply) -> None:
        """Count a granted vote if it belongs to the election in progress."""
        state = self._state
        if reply.is_pre_vote:
            expected_role, term = Role.PRE_CANDIDATE, state.hard_state.term + 1
        else:
            expected_role, term = Role.CANDIDATE, state.hard_state.term
        if state.role is not expected_role or reply.term != term or not reply.granted:
            return
        if reply.needs_all != self._needs_all:
            return
        self._votes.add(message.source)
        self._count_votes()

    def _may_grant(self, message: Message, request: VoteRequest) -> bool:
        state = self._state
        if state.role is Role.LEADER:
            return False
        need_not_wait = request.needs_all and not state.has_heard_leader
        if state.has_recent_leader_contact and not need_not_wait:
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

    def _yield_restart_round(self) -> None:
        """Leave the election after a restart to the member whose request was granted."""
        state = self._state
        if state.role is Role.PRE_CANDIDATE and self._needs_all:
            state.role = Role.FOLLOWER
        self._restart_round_at = state.now + self._draw_pause()

    def _draw_pause(self) -> float:
        """Return a random time in seconds until the next round of an election after a restart."""
        return RESTART_ROUND_SECONDS * (1.0 + self._draw())

    def _start_pre_vote(self, *, needs_all: bool) -> None:
        state = self._state
        is_repeated = needs_all and self._needs_all and state.role is Role.PRE_CANDIDATE
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        self._needs_all = needs_all
        if not is_repeated:
            self._votes = {state.me}
        self._restart_round_at = state.now + self._draw_pause()
        self._request_votes(state.hard_state.term + 1, is_pre_vote=True)

    def _start_election(self) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        self._restart_round_at = state.now + RESTART_ELECTION_SECONDS
        state.set_hard_state(
            replace(state.hard_state, term=state.hard_state.term + 1, vote=state.me)
        )
        self._request_votes(state.hard_state.term, is_pre_vote=False)

    def _request_votes(self, term: int, *, is_pre_vote: bool) -> None:
        state = self._state
        if not is_pre_vote:
            self.reset_timer()
            self._votes = {state.me}
        request = VoteRequest(
            term, state.log.last_index, state.log.last_term, is_pre_vote, self._needs_all
        )
        for voter in sorted(state.configuration.all_voters - {state.me}):
            state.send(voter, request)
        self._count_votes()

    def _count_votes(self) -> None:
        configuration = self._state.configuration
        if not configuration.has_quorum(self._votes):
            return
        missing = configuration.all_voters - self._votes
        if self._needs_all and not all(map(self._state.has_lost_disk, missing)):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self._start_election()
        else:
            self._on_elected()

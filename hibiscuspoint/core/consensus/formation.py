"""Announcement of new disks and first formation of the group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.entries import Entry, HardState
from hibiscuspoint.core.consensus.membership import Configuration
from hibiscuspoint.core.consensus.messages import Probe, ProbeReply
from hibiscuspoint.core.consensus.timing import PROBE_INTERVAL_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.membership import Member
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.state import NodeState

__all__ = ["Formation"]


class Formation:
    """Probes the peers while this member may not vote and hears from no leader.

    The instance with the lowest id forms the group, and only after every peer stated that its disk
    belongs to no group. A wiped instance therefore never forms a second group.

    :param state: shared state.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._next_probe = float("-inf")
        #: Peers without a group, and when each said so.
        self._unbound: dict[Member, float] = {}

    @property
    def next_probe(self) -> float:
        """Return the time of the next probe; infinite for a voter."""
        return float("inf") if self._state.is_voter else self._next_probe

    def tick(self) -> None:
        """Probe the peers if it is due, and form the group when possible."""
        state = self._state
        if state.is_voter or state.now < self._next_probe:
            return
        self._next_probe = state.now + PROBE_INTERVAL_SECONDS
        if state.has_recent_contact:
            return
        for instance in sorted(state.peers - {state.me.instance}):
            state.send_to_instance(instance, Probe())
        self._form_if_possible()

    def reply(self, message: Message) -> None:
        """Tell a member which disk this instance has and which leader it knows."""
        self._state.send(message.source, ProbeReply(self._state.leader))

    def handle_reply(self, message: Message, reply: ProbeReply) -> None:
        """Record an unbound peer, or the leader of the existing group."""
        state = self._state
        if message.group:
            self._unbound.pop(message.source, None)
            if not state.is_voter:
                state.leader = reply.leader or state.leader
        elif message.target_disk == state.me.disk:
            self._unbound[message.source] = state.now

    def _form_if_possible(self) -> None:
        state = self._state
        if state.hard.group or state.me.instance != min(state.peers, default=None):
            return
        voters = {state.me} | {
            member
            for member, heard_at in self._unbound.items()
            if state.now - heard_at < state.timing.election_timeout_min_seconds
        }
        if sorted(voter.instance for voter in voters) != sorted(state.peers):
            return
        state.set_hard_state(HardState(term=1, vote=state.me, group=state.me.disk))
        state.append((Entry(1, 1, Configuration(voters=frozenset(voters))),))

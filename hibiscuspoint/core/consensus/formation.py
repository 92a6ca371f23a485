"""Probes of members without a vote, and bootstrap of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.entries import Entry, HardState
from hibiscuspoint.core.consensus.membership import Configuration
from hibiscuspoint.core.consensus.messages import Probe, ProbeReply
from hibiscuspoint.core.consensus.timing import PROBE_INTERVAL_SECONDS

if TYPE_CHECKING:
    from hibiscuspoint.core.consensus.messages import Message
    from hibiscuspoint.core.consensus.state import NodeState

__all__ = ["Formation"]


class Formation:
    """Probes the peers while this member has no vote and no contact with a leader.

    The probes announce the disk of this instance to the peers. The instance with the lowest id
    forms the group, and only after every peer has replied that its disk belongs to no group. An
    instance whose disk was wiped therefore never forms a second group.

    :param state: state of the node.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._next_probe_at = float("-inf")

    @property
    def next_probe_at(self) -> float:
        """Monotonic time of the next probe; infinite for a voter."""
        return float("inf") if self._state.is_voter else self._next_probe_at

    def tick(self) -> None:
        """Probe the peers when a probe is due, and form the group if all of them can join it."""
        state = self._state
        if state.is_voter or state.now < self._next_probe_at:
            return
        self._next_probe_at = state.now + PROBE_INTERVAL_SECONDS
        if state.has_recent_leader_contact:
            return
        for instance in sorted(state.peers - {state.me.instance}):
            state.send_to_instance(instance, Probe())
        self._form_if_possible()

    def send_probe_reply(self, message: Message) -> None:
        """Reply to a message with the disk of this instance and the leader known to it."""
        self._state.send(message.source, ProbeReply(self._state.leader))

    def handle_probe_reply(self, message: Message, reply: ProbeReply) -> None:
        """Record a peer that belongs to no group, or the leader of the existing group."""
        state = self._state
        if message.group:
            state.unassigned_peers.pop(message.source, None)
            if not state.is_voter:
                state.leader = reply.leader or state.leader
        elif message.target_disk == state.me.disk:
            state.unassigned_peers[message.source] = state.now

    def _form_if_possible(self) -> None:
        state = self._state
        if state.hard_state.group or state.me.instance != min(state.peers, default=None):
            return
        voters = {state.me} | {
            member
            for member, replied_at in state.unassigned_peers.items()
            if state.now - replied_at < state.timing.election_timeout_min_seconds
        }
        if sorted(voter.instance for voter in voters) != sorted(state.peers):
            return
        state.set_hard_state(HardState(term=1, vote=state.me, group=state.me.disk))
        state.append((Entry(1, 1, Configuration(voters=frozenset(voters))),))

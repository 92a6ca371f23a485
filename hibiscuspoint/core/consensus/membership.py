"""Members, configurations and their quorums."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from hibiscuspoint.ids import InstanceId

__all__ = ["Configuration", "DiskId", "Member", "VoterContact"]

DiskId = NewType("DiskId", str)


@dataclass(frozen=True, order=True, slots=True)
class Member:
    """An instance together with the identity of its disk.

    Votes and acknowledgements count for this pair, so a wiped disk is another member.
    """

    instance: InstanceId
    disk: DiskId


@dataclass(frozen=True, slots=True)
class VoterContact:
    """A voter as the leader sees it.

    :param last_contact_at: send time of the latest request that the voter answered, in seconds of
        the leader's monotonic clock.
    """

    instance: InstanceId
    disk: str
    last_contact_at: float


def _majority_value(voters: frozenset[Member], value: Callable[[Member], float]) -> float:
    ranked = sorted((value(voter) for voter in voters), reverse=True)
    return ranked[len(ranked) // 2]


def _has_majority(voters: frozenset[Member], members: Collection[Member]) -> bool:
    return len(voters.intersection(members)) > len(voters) // 2


@dataclass(frozen=True, slots=True)
class Configuration:
    """Voters and learners of the control group.

    :param voters: voters; in a joint configuration the incoming ones.
    :param outgoing: voters before the change; empty unless the configuration is joint.
    :param learners: members that receive the log and do not vote.
    """

    voters: frozenset[Member] = frozenset()
    outgoing: frozenset[Member] = frozenset()
    learners: frozenset[Member] = frozenset()

    @property
    def is_joint(self) -> bool:
        """Tell whether decisions need a majority of both voter sets."""
        return bool(self.outgoing)

    @property
    def all_voters(self) -> frozenset[Member]:
        """Return the voters of both sets."""
        return self.voters | self.outgoing

    @property
    def members(self) -> frozenset[Member]:
        """Return voters and learners."""
        return self.all_voters | self.learners

    def voter_of(self, instance: InstanceId) -> Member | None:
        """Return the voter of an instance, or ``None``."""
        return next((voter for voter in self.voters if voter.instance == instance), None)

    def has_quorum(self, members: Collection[Member]) -> bool:
        """Tell whether the members form a majority of every voter set."""
        if not self.voters:
            return False
        joint = not self.outgoing or _has_majority(self.outgoing, members)
        return joint and _has_majority(self.voters, members)

    def quorum_value(self, value: Callable[[Member], float]) -> float:
        """Return the greatest value that a quorum has reached."""
        result = _majority_value(self.voters, value)
        if self.outgoing:
            result = min(result, _majority_value(self.outgoing, value))
        return result

    def with_learner(self, learner: Member) -> Configuration:
        """Return this configuration with a learner in place of others of its instance."""
        others = {other for other in self.learners if other.instance != learner.instance}
        return replace(self, learners=frozenset(others | {learner}))

    def joint_with(self, incoming: Member, replaced: InstanceId | None = None) -> Configuration:
        """Return the joint configuration in which a learner becomes a voter.

        :param replaced: instance whose voter it replaces besides that of its own instance.
        """
        leaving = {incoming.instance, replaced}
        kept = {voter for voter in self.voters if voter.instance not in leaving}
        return Configuration(
            voters=frozenset(kept | {incoming}),
            outgoing=self.voters,
            learners=self.learners - {incoming},
        )

    def final(self) -> Configuration:
        """Return the configuration that ends a joint one."""
        return replace(self, outgoing=frozenset())

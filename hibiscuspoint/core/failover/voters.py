"""Upkeep of the voters of a control group whose instances come and go."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from hibiscuspoint.core.consensus.membership import VoterContact
    from hibiscuspoint.ids import InstanceId

__all__ = ["VoterChange", "choose_voter_change"]

#: Seconds without an answer after which a voter is replaced by an instance that is there. Longer
#: than an election, shorter than the time after which a replaced machine must not be missed (4 s).
VOTER_SILENCE_SECONDS = 2.5


@dataclass(frozen=True)
class VoterChange:
    """The next change of the voters.

    :param incoming: instance whose disk becomes a voter.
    :param replaced: instance whose voter it replaces; ``None`` adds a voter.
    """

    incoming: InstanceId
    replaced: InstanceId | None


def choose_voter_change(
    voters: Collection[VoterContact],
    disks: Mapping[InstanceId, str],
    wanted: int,
    me: InstanceId,
    now: float,
) -> VoterChange | None:
    """Return the change that brings the voters closest to ``wanted`` disks that are there.

    :param voters: voters with the time of their last answer.
    :param disks: disk of each instance that reports one now.
    :param me: the leader, which never replaces itself.
    """
    by_instance = {voter.instance: voter for voter in voters}
    for instance, disk in sorted(disks.items()):
        voter = by_instance.get(instance)
        if voter is not None and voter.disk != disk and instance != me:
            return VoterChange(instance, None)
    spare = sorted(disks.keys() - by_instance.keys() - {me})
    if not spare:
        return None
    if len(voters) < wanted:
        return VoterChange(spare[0], None)
    silent = [
        voter
        for voter in voters
        if voter.instance != me and now - voter.last_contact_at >= VOTER_SILENCE_SECONDS
    ]
    if not silent:
        return None
    longest = min(silent, key=lambda voter: (voter.last_contact_at, voter.instance))
    return VoterChange(spare[0], longest.instance)

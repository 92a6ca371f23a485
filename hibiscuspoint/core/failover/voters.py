"""Replacement of voters in a control group whose instances come and go."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from hibiscuspoint.core.consensus.membership import VoterContact
    from hibiscuspoint.ids import InstanceId

__all__ = ["VoterChange", "choose_voter_change"]

#: Silence after which a voter is replaced by an instance that reports. It is longer than an
#: election and shorter than the 4 s after which a replaced machine must no longer be needed.
VOTER_SILENCE_SECONDS = 2.5


@dataclass(frozen=True)
class VoterChange:
    """One change of the voter set.

    :param incoming: instance whose disk becomes a voter.
    :param replaced: instance whose voter is removed in exchange; ``None`` if no other instance
        loses its voter.
    """

    incoming: InstanceId
    replaced: InstanceId | None


def choose_voter_change(
    voters: Collection[VoterContact],
    disks: Mapping[InstanceId, str],
    wanted_count: int,
    leader: InstanceId,
    now: float,
) -> VoterChange | None:
    """Return the next change towards ``wanted_count`` voters whose disks are available.

    A voter whose instance reports another disk has lost its data, so its new disk is added first.
    Then missing voters are added, and then the voter that has been silent for longest is replaced.

    :param voters: voters with the time of their last reply.
    :param disks: disk of each instance that has reported one recently.
    :param leader: instance of the control leader, which never replaces itself.
    """
    by_instance = {voter.instance: voter for voter in voters}
    for instance, disk in sorted(disks.items()):
        voter = by_instance.get(instance)
        if voter is not None and voter.disk != disk and instance != leader:
            return VoterChange(instance, None)
    spare = sorted(disks.keys() - by_instance.keys() - {leader})
    if not spare:
        return None
    if len(voters) < wanted_count:
        return VoterChange(spare[0], None)
    silent = [
        voter
        for voter in voters
        if voter.instance != leader and now - voter.last_contact_at >= VOTER_SILENCE_SECONDS
    ]
    if not silent:
        return None
    most_silent = min(silent, key=lambda voter: (voter.last_contact_at, voter.instance))
    return VoterChange(spare[0], most_silent.instance)

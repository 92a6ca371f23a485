"""Tests of the replacement of voters."""

from __future__ import annotations

from hibiscuspoint.core.consensus.membership import VoterContact
from hibiscuspoint.core.failover import VoterChange, choose_voter_change
from hibiscuspoint.core.failover.voters import VOTER_SILENCE_SECONDS
from hibiscuspoint.ids import InstanceId

A, B, C, D = (InstanceId(f"10.0.0.{number}:7440") for number in range(1, 5))
NOW = 100.0


def _voters(**silent: float) -> list[VoterContact]:
    names = {"a": A, "b": B, "c": C}
    return [
        VoterContact(instance, f"disk-{name}", NOW - silent.get(name, 0.0))
        for name, instance in names.items()
    ]


def _disks(*instances: InstanceId) -> dict[InstanceId, str]:
    names = {A: "disk-a", B: "disk-b", C: "disk-c", D: "disk-d"}
    return {instance: names[instance] for instance in instances}


def test_voters_are_kept_while_all_of_them_reply():
    """Guards against needless changes when a spare disk exists."""
    assert choose_voter_change(_voters(), _disks(A, B, C, D), 3, A, NOW) is None


def test_wiped_disk_replaces_the_voter_of_its_own_instance():
    """Guards against a control group that counts a lost disk as a voter for ever."""
    disks = {**_disks(A, B), C: "disk-new"}
    assert choose_voter_change(_voters(), disks, 3, A, NOW) == VoterChange(C, None)


def test_silent_voter_is_replaced_by_an_instance_that_reports():
    """Guards against the loss of the quorum if a second machine fails soon after the first."""
    voters = _voters(c=VOTER_SILENCE_SECONDS)
    assert choose_voter_change(voters, _disks(A, B, D), 3, A, NOW) == VoterChange(D, C)


def test_briefly_silent_voter_is_kept():
    """Guards against a change of voters because of a short pause."""
    voters = _voters(c=VOTER_SILENCE_SECONDS - 0.1)
    assert choose_voter_change(voters, _disks(A, B, D), 3, A, NOW) is None


def test_group_grows_to_the_wanted_size():
    """Guards against three voters where the loss of two disks must be tolerated."""
    assert choose_voter_change(_voters(), _disks(A, B, C, D), 5, A, NOW) == VoterChange(D, None)


def test_lost_voter_stays_without_a_replacement():
    """Guards against a smaller control group, which tolerates fewer losses."""
    assert choose_voter_change(_voters(c=60.0), _disks(A, B), 3, A, NOW) is None

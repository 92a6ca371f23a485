"""Time constants of the control group, in seconds, and size limits of its messages."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "CATCH_UP_ENTRIES",
    "DEFAULT_COMPACTION_ENTRIES",
    "ELECTION_TIMEOUT_MAX",
    "ELECTION_TIMEOUT_MIN",
    "HEARTBEAT_INTERVAL",
    "LEASE_DURATION",
    "MAX_BATCH_BYTES",
    "MAX_BATCH_ENTRIES",
    "MAX_IN_FLIGHT_ENTRIES",
    "PROBE_INTERVAL",
    "RETAINED_ENTRIES",
    "SNAPSHOT_RETRY",
    "Timing",
]

#: Time between two heartbeats of the leader (design D12).
HEARTBEAT_INTERVAL = 0.150
#: Range of the random time without a leader after which a member stands for election (design D12).
ELECTION_TIMEOUT_MIN = 1.0
ELECTION_TIMEOUT_MAX = 2.0

#: A follower grants no vote within ELECTION_TIMEOUT_MIN of the last leader contact. The lease is
#: shorter, so that it ends first even when the clock rates of two instances differ by 10%.
LEASE_DURATION = 0.9

#: Time between two probes of the other members while the control group is formed.
PROBE_INTERVAL = 0.3
#: Time after which an unanswered snapshot is sent again.
SNAPSHOT_RETRY = 2.0

#: Greatest number of entries in one message.
MAX_BATCH_ENTRIES = 256
#: Keeps a message below the default gRPC limit of 4 MiB.
MAX_BATCH_BYTES = 512 * 1024
#: Entries that may be sent to a member and not yet acknowledged by it.
MAX_IN_FLIGHT_ENTRIES = 4096

#: Entries kept in memory before the snapshot index, so that a follower that is slightly behind
#: does not need the snapshot.
RETAINED_ENTRIES = 256

#: Applied entries after which a snapshot replaces them, unless the settings state another number.
DEFAULT_COMPACTION_ENTRIES = 1000

#: A learner this close to the commit index may become a voter.
CATCH_UP_ENTRIES = 64


@dataclass(frozen=True)
class Timing:
    """Times of one control group in seconds; all members use the same.

    :param heartbeat: time between two heartbeats of the leader.
    :param election_min: shortest time without a leader after which a member stands for election. A
        follower grants no vote within it.
    :param election_max: longest such time.
    :param lease: duration of the leadership lease; shorter than ``election_min`` by a tenth.
    """

    heartbeat: float = HEARTBEAT_INTERVAL
    election_min: float = ELECTION_TIMEOUT_MIN
    election_max: float = ELECTION_TIMEOUT_MAX
    lease: float = LEASE_DURATION

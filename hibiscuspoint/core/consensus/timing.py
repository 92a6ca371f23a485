"""Timeouts of the control group and size limits of its messages and its log."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "CATCH_UP_ENTRIES",
    "DEFAULT_COMPACTION_ENTRIES",
    "ELECTION_TIMEOUT_MAX_SECONDS",
    "ELECTION_TIMEOUT_MIN_SECONDS",
    "HEARTBEAT_INTERVAL_SECONDS",
    "LEASE_SECONDS",
    "MAX_BATCH_BYTES",
    "MAX_BATCH_ENTRIES",
    "MAX_IN_FLIGHT_ENTRIES",
    "PROBE_INTERVAL_SECONDS",
    "RETAINED_ENTRIES",
    "SNAPSHOT_RETRY_SECONDS",
    "Timing",
]

#: Interval between two heartbeats of the leader (design D12).
HEARTBEAT_INTERVAL_SECONDS = 0.150
#: Bounds of the random election timeout: a voter without contact to a leader for this long starts a
#: pre-vote (design D12).
ELECTION_TIMEOUT_MIN_SECONDS = 1.0
ELECTION_TIMEOUT_MAX_SECONDS = 2.0

#: A follower grants no vote within ELECTION_TIMEOUT_MIN_SECONDS of its last contact with a leader.
#: The leadership lease is shorter, so that it expires before another leader can be elected even
#: when the clock rates of two instances differ by 10%.
LEASE_SECONDS = 0.9

#: Interval between two probes of the peers by a member that is no voter.
PROBE_INTERVAL_SECONDS = 0.3
#: Time after which a snapshot that was not acknowledged is sent again.
SNAPSHOT_RETRY_SECONDS = 2.0

#: Maximum number of entries in one append request.
MAX_BATCH_ENTRIES = 256
#: Maximum size of the entries in one append request; keeps it below the default gRPC message limit
#: of 4 MiB.
MAX_BATCH_BYTES = 512 * 1024
#: Maximum number of entries that are sent to a member and not yet acknowledged by it.
MAX_IN_FLIGHT_ENTRIES = 4096

#: Entries before the snapshot index that stay in memory, so that a follower that is slightly behind
#: can be served from the log and does not need the snapshot.
RETAINED_ENTRIES = 256

#: Number of applied entries after which a snapshot replaces them; the settings can override it.
DEFAULT_COMPACTION_ENTRIES = 1000

#: A learner that is at most this many entries behind the commit index may become a voter.
CATCH_UP_ENTRIES = 64


@dataclass(frozen=True)
class Timing:
    """Times of one control group in seconds; all members use the same values.

    :param heartbeat_interval_seconds: interval between two heartbeats of the leader.
    :param election_timeout_min_seconds: lower bound of the random election timeout. A follower
        grants no vote within this time of its last contact with a leader.
    :param election_timeout_max_seconds: upper bound of the random election timeout.
    :param lease_seconds: duration of the leadership lease; a tenth shorter than
        ``election_timeout_min_seconds``.
    """

    heartbeat_interval_seconds: float = HEARTBEAT_INTERVAL_SECONDS
    election_timeout_min_seconds: float = ELECTION_TIMEOUT_MIN_SECONDS
    election_timeout_max_seconds: float = ELECTION_TIMEOUT_MAX_SECONDS
    lease_seconds: float = LEASE_SECONDS

"""Choice of the target that serves a read: a replica or the primary (design D6)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.errors import DeadlineError, HibiscusError, NoPrimaryError
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.core.entry.freshness import TipSamples
    from hibiscuspoint.core.position import LogPosition, TermHistory
    from hibiscuspoint.ids import TargetId, Term

__all__ = [
    "PrimaryState",
    "Read",
    "ReadPlan",
    "ReadPlanner",
    "RejectRead",
    "ReplicaState",
    "ServeFromPrimary",
    "ServeFromReplica",
    "WaitForReplica",
]

#: Maximum wait in seconds for a replica while the primary could serve the read (design D6).
_MAX_REPLICA_WAIT_SECONDS = 0.020
#: The same limit as a fraction of the time to the deadline at arrival (design D6). The lower limit
#: applies.
_MAX_REPLICA_WAIT_FRACTION = 1 / 5


@dataclass(frozen=True, slots=True)
class Read:
    """A read to be planned; times are monotonic seconds.

    :param arrived_at: when the read reached the holder.
    :param deadline: when the read must be answered.
    :param mark: the session mark of the group.
    :param max_age: maximum age of the data in seconds; None for a linearizable read.
    """

    arrived_at: float
    deadline: float
    mark: LogPosition
    max_age: float | None = None

    @property
    def replica_wait_ends_at(self) -> float:
        """Time until which the read may wait for a replica although the primary could serve it."""
        fraction_seconds = (self.deadline - self.arrived_at) * _MAX_REPLICA_WAIT_FRACTION
        return self.arrived_at + min(_MAX_REPLICA_WAIT_SECONDS, fraction_seconds)


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State of a replica as known to the holder.

    :param target: id of the replica.
    :param applied_index: index of the last record that reads observe.
    :param log_term: the lower of the reported term and the term of the last received record. If it
        is the current term, the log of the replica has no diverged tail.
    :param is_usable: whether the replica is connected, in the member list and not leaving.
    :param in_flight: number of statements that the holder has sent and that are not answered.
    :param max_in_flight: limit on the statements in flight.
    :param apply_rate: records applied per second, as measured; None when not known.
    :param service_seconds: expected duration of one statement in seconds.
    """

    target: TargetId
    applied_index: int
    log_term: Term
    is_usable: bool
    in_flight: int
    max_in_flight: int
    apply_rate: float | None = None
    service_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class PrimaryState:
    """State of the primary as known to the holder.

    :param is_usable: whether the route lease is valid and the primary accepts requests.
    :param expected_wait_seconds: expected seconds that a new request waits for an execution slot.
    """

    is_usable: bool
    expected_wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ServeFromReplica:
    """Send the read to this replica now."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class WaitForReplica:
    """Plan the read again at ``until``, in monotonic seconds, or at an earlier change of state.

    Changes that matter are those of a position, a tip sample, a free slot or a route.
    """

    until: float


@dataclass(frozen=True, slots=True)
class ServeFromPrimary:
    """Queue the read for the primary."""


@dataclass(frozen=True, slots=True)
class RejectRead:
    """Answer the read with this error; it did not run."""

    error: HibiscusError


ReadPlan = ServeFromReplica | WaitForReplica | ServeFromPrimary | RejectRead


class ReadPlanner:
    """Selects the targets for the reads of one group."""

    def __init__(self) -> None:
        self._choice_count = 0
        # Value of the counter when each replica was last chosen; the lowest is least recently used.
        self._last_choice: dict[TargetId, int] = {}

    def plan(
        self,
        read: Read,
        *,
        term: Term,
        history: TermHistory,
        replicas: Sequence[ReplicaState],
        samples: TipSamples,
        primary: PrimaryState,
        now: float,
    ) -> ReadPlan:
        """Return how to proceed with a read.

        :param term: term of the route; replicas and samples of another term are not used.
        :param history: start indexes of the terms of the group's log.
        :param samples: samples of the tip of the primary.
        """
        if now >= read.deadline:
            return RejectRead(_deadline_error(primary))
        if read.mark.term > term:
            # The session observed a later term than this holder, so the primary that the holder
            # knows may have been replaced.
            return WaitForReplica(read.deadline)
        required_index = _required_index(read, term, history, samples, now)
        current = [
            replica for replica in replicas if replica.is_usable and replica.log_term == term
        ]
        selected = self._select_replica(current, required_index)
        if selected is not None:
            return ServeFromReplica(selected)
        wait_seconds = min(
            (_expected_wait_seconds(replica, required_index) for replica in current),
            default=math.inf,
        )
        return _plan_without_replica(read, primary, wait_seconds, now)

    def may_release_answer(
        self,
        read: Read,
        observed: LogPosition,
        *,
        term: Term,
        history: TermHistory,
        samples: TipSamples,
        now: float,
    ) -> bool:
        """Return whether an answer of a replica is fresh enough to be sent to the caller.

        Data ages while the read waits at the replica, so the bound on its age is checked again when
        the answer arrives (guarantee G10). A read that fails this check is planned again.

        :param observed: position of the replica's log that the read observed.
        """
        if observed.term > term or history.clamp(observed) != observed.index:
            return False
        required_index = _required_index(read, term, history, samples, now)
        return required_index is not None and observed.index >= required_index

    def _select_replica(
        self, replicas: Sequence[ReplicaState], required_index: int | None
    ) -> TargetId | None:
        """Return the ready replica with the lowest load; among equals, the least recently used."""
        if required_index is None:
            return None
        free = [
            replica
            for replica in replicas
            if replica.applied_index >= required_index and replica.in_flight < replica.max_in_flight
        ]
        if not free:
            return None
        selected = min(
            free, key=lambda r: (r.in_flight / r.max_in_flight, self._last_choice.get(r.target, 0))
        )
        self._choice_count += 1
        self._last_choice[selected.target] = self._choice_count
        return selected.target


def _required_index(
    read: Read, term: Term, history: TermHistory, samples: TipSamples, now: float
) -> int | None:
    """Return the lowest index that a replica must have applied; None while no sample gives it."""
    if read.mark.term > term or samples.term != term:
        return None
    earliest = read.arrived_at if read.max_age is None else now - read.max_age
    tip = samples.lowest_tip_since(earliest)
    if tip is None:
        return None
    return max(tip, history.clamp(read.mark))


def _expected_wait_seconds(replica: ReplicaState, required_index: int | None) -> float:
    """Return the expected seconds until a replica can serve the read.

    An unknown index or apply rate counts as no wait: the wait for a replica is bounded anyway.
    """
    if replica.max_in_flight <= 0:
        return math.inf
    excess = max(0, replica.in_flight + 1 - replica.max_in_flight)
    wait_seconds = replica.service_seconds * excess / replica.max_in_flight
    lag = 0 if required_index is None else max(0, required_index - replica.applied_index)
    if lag and replica.apply_rate is not None:
        wait_seconds += lag / replica.apply_rate if replica.apply_rate > 0 else math.inf
    return wait_seconds


def _plan_without_replica(
    read: Read, primary: PrimaryState, replica_wait_seconds: float, now: float
) -> ReadPlan:
    """Return whether a read waits for a replica or goes to the primary if no replica is ready."""
    if not primary.is_usable or now + primary.expected_wait_seconds >= read.deadline:
        return WaitForReplica(read.deadline)
    wait_ends_at = read.replica_wait_ends_at
    if now < wait_ends_at and now + replica_wait_seconds <= wait_ends_at:
        return WaitForReplica(wait_ends_at)
    return ServeFromPrimary()


def _deadline_error(primary: PrimaryState) -> HibiscusError:
    if primary.is_usable:
        return DeadlineError(
            "the deadline of the read passed before a target could serve it",
            verdict=Verdict.NOT_RUN,
        )
    return NoPrimaryError("no primary or replica could serve the read before its deadline")

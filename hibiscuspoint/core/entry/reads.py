"""Choice between replicas and the primary for a read (design D6)."""

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

#: Longest wait for a replica while the primary could serve, in seconds (design D6).
_REPLICA_BUDGET_SECONDS = 0.020
#: The same budget as a share of the time that remains at the arrival (design D6).
_REPLICA_BUDGET_SHARE = 1 / 5


@dataclass(frozen=True, slots=True)
class Read:
    """A read that waits for a plan; times are monotonic seconds.

    :param arrived_at: when the read reached the holder.
    :param deadline: when its time ends.
    :param mark: the session mark of the group.
    :param max_age: greatest accepted age in seconds; None for a linearizable read.
    """

    arrived_at: float
    deadline: float
    mark: LogPosition
    max_age: float | None = None

    @property
    def replica_wait_ends_at(self) -> float:
        """Return until when the read waits for a replica although the primary could serve."""
        share = (self.deadline - self.arrived_at) * _REPLICA_BUDGET_SHARE
        return self.arrived_at + min(_REPLICA_BUDGET_SECONDS, share)


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What the holder knows of a replica.

    :param applied_index: index of the last record that reads observe.
    :param log_term: the lower of the reported term and the term of the last received record. With
        the current term, the log of the replica has no diverged tail.
    :param is_usable: connected, in the member list and not leaving.
    :param in_flight: statements that the holder has sent and that are not answered.
    :param max_in_flight: statements that the holder may have in flight at once.
    :param apply_rate: observed records per second; None when not known.
    :param service_seconds: expected seconds for one statement.
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
    """What the holder knows of the primary.

    :param is_usable: the route lease is valid and the primary takes work.
    :param expected_wait_seconds: seconds that a new request waits for a slot.
    """

    is_usable: bool
    expected_wait_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class ServeFromReplica:
    """Send the read to this replica now."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class WaitForReplica:
    """Plan again at ``until``, or earlier when a position, a sample, a slot or a route changes."""

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
    """Plans the reads of one group."""

    def __init__(self) -> None:
        self._choices = 0
        self._chosen_at: dict[TargetId, int] = {}

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
        """Return what to do with a read now.

        :param term: term of the route; replicas and samples of another term never qualify.
        """
        if now >= read.deadline:
            return RejectRead(_missed_deadline(primary))
        if read.mark.term > term:
            # The session saw a newer term than this holder, whose primary may be replaced.
            return WaitForReplica(read.deadline)
        needed = _needed_index(read, term, history, samples, now)
        current = [
            replica for replica in replicas if replica.is_usable and replica.log_term == term
        ]
        chosen = self._choose(current, needed)
        if chosen is not None:
            return ServeFromReplica(chosen)
        wait = min((_expected_wait(replica, needed) for replica in current), default=math.inf)
        return _plan_without_replica(read, primary, wait, now)

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
        """Tell whether an answer of a replica that observed this position may be released.

        Data ages while the read waits at the replica, so the bound is checked again when the
        answer arrives (guarantee G10). A read that fails the check is planned again.
        """
        if observed.term > term or history.clamp(observed) != observed.index:
            return False
        needed = _needed_index(read, term, history, samples, now)
        return needed is not None and observed.index >= needed

    def _choose(self, replicas: Sequence[ReplicaState], needed: int | None) -> TargetId | None:
        """Return the replica with the least in flight; among equals, the least recently used."""
        if needed is None:
            return None
        free = [
            replica
            for replica in replicas
            if replica.applied_index >= needed and replica.in_flight < replica.max_in_flight
        ]
        if not free:
            return None
        chosen = min(
            free, key=lambda r: (r.in_flight / r.max_in_flight, self._chosen_at.get(r.target, 0))
        )
        self._choices += 1
        self._chosen_at[chosen.target] = self._choices
        return chosen.target


def _needed_index(
    read: Read, term: Term, history: TermHistory, samples: TipSamples, now: float
) -> int | None:
    """Return the lowest index that a replica must have applied; None while it is not known."""
    if read.mark.term > term or samples.term != term:
        return None
    earliest = read.arrived_at if read.max_age is None else now - read.max_age
    tip = samples.lowest_tip_since(earliest)
    if tip is None:
        return None
    return max(tip, history.clamp(read.mark))


def _expected_wait(replica: ReplicaState, needed: int | None) -> float:
    """Return the seconds until a replica can take the read.

    An unknown sample or apply rate counts as no wait: the budget bounds the attempt.
    """
    if replica.max_in_flight <= 0:
        return math.inf
    excess = max(0, replica.in_flight + 1 - replica.max_in_flight)
    wait = replica.service_seconds * excess / replica.max_in_flight
    gap = 0 if needed is None else max(0, needed - replica.applied_index)
    if gap and replica.apply_rate is not None:
        wait += gap / replica.apply_rate if replica.apply_rate > 0 else math.inf
    return wait


def _plan_without_replica(
    read: Read, primary: PrimaryState, replica_wait: float, now: float
) -> ReadPlan:
    """Wait for a replica, or use the primary, when no replica can take the read now."""
    if not primary.is_usable or now + primary.expected_wait_seconds >= read.deadline:
        return WaitForReplica(read.deadline)
    budget_ends = read.replica_wait_ends_at
    if now < budget_ends and now + replica_wait <= budget_ends:
        return WaitForReplica(budget_ends)
    return ServeFromPrimary()


def _missed_deadline(primary: PrimaryState) -> HibiscusError:
    if primary.is_usable:
        return DeadlineError(
            "the time of the read ended before a target could take it", verdict=Verdict.NOT_RUN
        )
    return NoPrimaryError("no primary and no replica could take the read before its deadline")

"""Route leases that the control leader has granted to entries."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.lease import ALL_GRANTS_NS, NO_LATER_GRANT_NS, lease_end_at_grantor
from hibiscuspoint.ids import EntryProcess

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hibiscuspoint.ids import GroupId, Incarnation, InstanceId, Term

__all__ = ["LEASE_SECONDS", "LeaseLedger"]

#: Duration of a route lease in seconds. It is longer than an election of the control group, so that
#: the loss of the control leader does not interrupt writes.
LEASE_SECONDS = 2.5


@dataclass(frozen=True)
class _Grant:
    """The last lease of one process; ``expires_at`` is monotonic time in seconds.

    :param requested_at_ns: when the report was sent that the lease answers, on the entry's clock.
    """

    term: Term
    expires_at: float
    requested_at_ns: int


class LeaseLedger:
    """Records which entries may use the primary of a group, and until when.

    A control leader records every lease that it grants, under the process that received it: only
    that process knows what it did under the lease. The leader does not know the leases that its
    predecessor granted, which are called inherited here: until they have expired, any entry that
    the predecessor recorded as a holder of the group may have one.

    All times are monotonic and in seconds.

    :param leader_since: time at which this instance became leader. The previous leader may have
        granted leases until then.
    :param seconds: duration of a lease.
    """

    def __init__(self, leader_since: float, seconds: float = LEASE_SECONDS) -> None:
        self._seconds = seconds
        self._inherited_until = lease_end_at_grantor(leader_since, seconds)
        self._grants: dict[GroupId, dict[EntryProcess, _Grant]] = {}
        # Highest term of which a process accepts no further lease.
        self._void: dict[GroupId, dict[EntryProcess, Term]] = {}
        self._inherited: dict[GroupId, dict[InstanceId, Incarnation]] = {}
        # When the last inherited lease of a group was released.
        self._inherited_released_at: dict[GroupId, float] = {}

    def expect_inherited(self, group: GroupId, processes: Mapping[InstanceId, Incarnation]) -> None:
        """Set the processes that may have an inherited lease of a group; all others have none."""
        self._inherited[group] = dict(processes)

    def release_inherited(self, group: GroupId, instance: InstanceId, now: float) -> None:
        """Record that an entry has no inherited lease of a group and can no longer obtain one."""
        if self._inherited.get(group, {}).pop(instance, None) is not None:
            self._inherited_released_at[group] = min(now, self._inherited_until)

    def grant(
        self,
        group: GroupId,
        process: EntryProcess,
        term: Term,
        now: float,
        requested_at_ns: int = 0,
    ) -> None:
        """Record a lease that is about to be sent.

        :param requested_at_ns: when the report was sent that it answers, on the entry's clock.
        """
        expires_at = lease_end_at_grantor(now, self._seconds)
        grant = _Grant(term, expires_at, requested_at_ns)
        self._grants.setdefault(group, {})[process] = grant

    def release(
        self,
        group: GroupId,
        process: EntryProcess,
        term: Term,
        until_ns: int = ALL_GRANTS_NS,
    ) -> None:
        """Record that a process released its leases up to a term.

        An entry repeats a release until it receives the next lease, so that one may arrive after a
        later grant, which is still on its way.

        :param until_ns: the release covers the leases that were requested until then, on the
            entry's clock.
        """
        if until_ns == NO_LATER_GRANT_NS:
            self._void.setdefault(group, {})[process] = term
        grant = self._grants.get(group, {}).get(process)
        is_covered = until_ns == ALL_GRANTS_NS or grant is None or grant.requested_at_ns <= until_ns
        if grant is not None and grant.term <= term and is_covered:
            del self._grants[group][process]

    def is_void(self, group: GroupId, process: EntryProcess, term: Term) -> bool:
        """Tell whether a process released its lease of a term for good.

        It would not use another one, as it stops or knows of a higher term.
        """
        return term <= self._void.get(group, {}).get(process, 0)

    def record_start(self, process: EntryProcess, now: float) -> None:
        """End the leases of earlier processes of an instance, as a later one has reported.

        They are not released: what those processes acknowledged last is unknown.
        """
        for terms in self._void.values():
            for former in [p for p in terms if p.instance == process.instance and p != process]:
                del terms[former]
        for grants in self._grants.values():
            for former, grant in grants.items():
                if former.instance == process.instance and former != process:
                    grants[former] = replace(grant, expires_at=min(grant.expires_at, now))

    def forget_releases(self, instance: InstanceId) -> None:
        """Forget what an instance released for good; it repeats that if it reports again."""
        for terms in self._void.values():
            for process in [p for p in terms if p.instance == instance]:
                del terms[process]

    def forget_ended(self, group: GroupId, before: float) -> None:
        """Forget the leases that ended before a time up to which all acknowledgements are known."""
        grants = self._grants.get(group, {})
        for process in [p for p, grant in grants.items() if grant.expires_at < before]:
            del grants[process]

    def has_no_lease_before(self, group: GroupId, term: Term, now: float) -> bool:
        """Tell whether every lease of a term lower than ``term`` was released or has expired.

        The primaries of those terms then receive no further work from any entry.
        """
        if not self._has_no_inherited_lease(group, now):
            return False
        grants = self._grants.get(group, {}).values()
        return all(grant.term >= term or grant.expires_at < now for grant in grants)

    def is_group_complete(self, group: GroupId, at: float) -> bool:
        """Tell whether every lease of a group that was valid at a time or later is recorded."""
        return self._has_no_inherited_lease(group, at)

    def is_complete(self, now: float) -> bool:
        """Tell whether all inherited leases have expired, so that every valid lease is recorded."""
        return now >= self._inherited_until

    def leaseholders(self, group: GroupId, now: float) -> set[EntryProcess]:
        """Return the processes that may have a valid lease that this leader granted."""
        grants = self._grants.get(group, {})
        return {process for process, grant in grants.items() if grant.expires_at >= now}

    def leasing_instances(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the instances of the processes that may have a valid lease."""
        return {process.instance for process in self.leaseholders(group, now)}

    def unreleased_leaseholders(
        self, group: GroupId, term: Term, since: float
    ) -> set[EntryProcess]:
        """Return the processes that never released a lease of a term lower than ``term``.

        :param since: leases that expired before this time are left out. What a process did under a
            lease that expired later is unknown, although that lease is no longer valid.
        """
        grants = self._grants.get(group, {})
        return {
            process
            for process, grant in grants.items()
            if grant.term < term and grant.expires_at >= since
        }

    def unreleased_until(self, group: GroupId, term: Term) -> float:
        """Return when the last lease of a term lower than ``term`` ends that was not released.

        Inherited leases count until the last of their entries has released them.
        """
        grants = self._grants.get(group, {}).values()
        ends = [grant.expires_at for grant in grants if grant.term < term]
        return max([self._inherited_released_at.get(group, -math.inf), *ends])

    def inherited_until(self, group: GroupId) -> float:
        """Return when the inherited leases that are not released end."""
        return -math.inf if self._inherited.get(group) == {} else self._inherited_until

    def inheriting(self, group: GroupId, now: float) -> set[EntryProcess]:
        """Return the processes known to have an inherited lease, for the log."""
        inherited = {} if self.is_complete(now) else self._inherited.get(group, {})
        return {EntryProcess(*item) for item in inherited.items()}

    def possible_leaseholders(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may have a valid lease, an inherited one included."""
        held = self.leasing_instances(group, now)
        return held if self.is_complete(now) else held | self._inherited.get(group, {}).keys()

    def _has_no_inherited_lease(self, group: GroupId, at: float) -> bool:
        """Tell whether no entry had an inherited lease of a group at a time or later."""
        is_released = self._inherited.get(group) == {}
        released_at = self._inherited_released_at.get(group, -math.inf)
        return self.is_complete(at) or (is_released and at >= released_at)

"""Route leases that the control leader granted to entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.lease import lease_end_at_grantor

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import GroupId, InstanceId, Term

__all__ = ["LEASE_SECONDS", "LeaseLedger"]

#: Duration of a route lease in seconds. Longer than an election of the control group, so that the
#: loss of the control leader does not interrupt writes.
LEASE_SECONDS = 2.5


@dataclass(frozen=True)
class _Grant:
    term: Term
    expires_at: float


class LeaseLedger:
    """Knows until when entries may use a primary of an old term.

    :param leader_since: time at which this instance became leader. The previous leader may have
        granted leases until then.
    :param seconds: duration of a lease.
    """

    def __init__(self, leader_since: float, seconds: float = LEASE_SECONDS) -> None:
        self._seconds = seconds
        self._inherited_until = lease_end_at_grantor(leader_since, seconds)
        self._grants: dict[GroupId, dict[InstanceId, _Grant]] = {}
        self._inherited: dict[GroupId, set[InstanceId]] = {}

    def expect_inherited(self, group: GroupId, instances: Iterable[InstanceId]) -> None:
        """Note the only entries that may have leases of the previous leader of a group."""
        self._inherited[group] = set(instances)

    def release_inherited(self, group: GroupId, instance: InstanceId) -> None:
        """Record that an entry has no lease of the previous leader and accepts none any more."""
        self._inherited.get(group, set()).discard(instance)

    def grant(self, group: GroupId, instance: InstanceId, term: Term, now: float) -> None:
        """Record a lease that is about to be sent."""
        expires_at = lease_end_at_grantor(now, self._seconds)
        self._grants.setdefault(group, {})[instance] = _Grant(term, expires_at)

    def release(self, group: GroupId, instance: InstanceId, term: Term) -> None:
        """Record that an entry handed back its lease of a term."""
        grant = self._grants.get(group, {}).get(instance)
        if grant is not None and grant.term <= term:
            del self._grants[group][instance]

    def has_no_lease_before(self, group: GroupId, term: Term, now: float) -> bool:
        """Tell whether no entry can still use a primary of a term before ``term``."""
        if not self._has_no_inherited_lease(group, now):
            return False
        grants = self._grants.get(group, {}).values()
        return all(grant.term >= term or grant.expires_at < now for grant in grants)

    def is_complete(self, now: float) -> bool:
        """Tell whether the leases that an earlier leader granted have ended."""
        return now >= self._inherited_until

    def leaseholders(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may hold a lease of the group."""
        grants = self._grants.get(group, {})
        return {instance for instance, grant in grants.items() if grant.expires_at >= now}

    def unreleased_leaseholders(self, group: GroupId, term: Term, since: float) -> set[InstanceId]:
        """Return the entries that never handed back a lease of a term before ``term``.

        :param since: leases that ended before this time are left out. What an entry did under a
            later one is not known, although the lease has ended.
        """
        grants = self._grants.get(group, {})
        return {
            instance
            for instance, grant in grants.items()
            if grant.term < term and grant.expires_at >= since
        }

    def possible_leaseholders(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may hold a lease of this or the previous leader."""
        held = self.leaseholders(group, now)
        return held if self.is_complete(now) else held | self._inherited.get(group, set())

    def _has_no_inherited_lease(self, group: GroupId, now: float) -> bool:
        return self.is_complete(now) or self._inherited.get(group) == set()

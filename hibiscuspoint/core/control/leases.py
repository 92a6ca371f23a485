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
    until: float


class LeaseLedger:
    """Knows until when entries may use a primary of an old term.

    :param leader_since: time at which this instance became leader. The previous leader may have
        granted leases until then.
    :param seconds: duration of a lease.
    """

    def __init__(self, leader_since: float, seconds: float = LEASE_SECONDS) -> None:
        self._seconds = seconds
        self._unknown_until = lease_end_at_grantor(leader_since, seconds)
        self._grants: dict[GroupId, dict[InstanceId, _Grant]] = {}
        self._earlier: dict[GroupId, set[InstanceId]] = {}

    def expect_earlier(self, group: GroupId, instances: Iterable[InstanceId]) -> None:
        """Note the only entries that may have leases of the previous leader of a group."""
        self._earlier[group] = set(instances)

    def release_earlier(self, group: GroupId, instance: InstanceId) -> None:
        """Record that an entry has no lease of the previous leader and accepts none any more."""
        self._earlier.get(group, set()).discard(instance)

    def grant(self, group: GroupId, instance: InstanceId, term: Term, now: float) -> None:
        """Record a lease that is about to be sent."""
        until = lease_end_at_grantor(now, self._seconds)
        self._grants.setdefault(group, {})[instance] = _Grant(term, until)

    def release(self, group: GroupId, instance: InstanceId, term: Term) -> None:
        """Record that an entry handed back its lease of a term."""
        grant = self._grants.get(group, {}).get(instance)
        if grant is not None and grant.term <= term:
            del self._grants[group][instance]

    def is_clear(self, group: GroupId, term: Term, now: float) -> bool:
        """Tell whether no entry can still use a primary of a term before ``term``."""
        if not self._is_earlier_clear(group, now):
            return False
        grants = self._grants.get(group, {}).values()
        return all(grant.term >= term or grant.until < now for grant in grants)

    def is_known(self, now: float) -> bool:
        """Tell whether the leases that an earlier leader granted have ended."""
        return now >= self._unknown_until

    def held_by(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may hold a lease of the group."""
        grants = self._grants.get(group, {})
        return {instance for instance, grant in grants.items() if grant.until >= now}

    def unreturned(self, group: GroupId, term: Term, since: float) -> set[InstanceId]:
        """Return the entries that never handed back a lease of a term before ``term``.

        :param since: leases that ended before this time are left out. What an entry did under a
            later one is not known, although the lease has ended.
        """
        grants = self._grants.get(group, {})
        return {
            instance
            for instance, grant in grants.items()
            if grant.term < term and grant.until >= since
        }

    def may_be_held_by(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may hold a lease of this or the previous leader."""
        held = self.held_by(group, now)
        return held if self.is_known(now) else held | self._earlier.get(group, set())

    def _is_earlier_clear(self, group: GroupId, now: float) -> bool:
        return self.is_known(now) or self._earlier.get(group) == set()

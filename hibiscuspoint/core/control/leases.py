"""Route leases that the control leader has granted to entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.lease import lease_end_at_grantor

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.ids import GroupId, InstanceId, Term

__all__ = ["LEASE_SECONDS", "LeaseLedger"]

#: Duration of a route lease in seconds. It is longer than an election of the control group, so that
#: the loss of the control leader does not interrupt writes.
LEASE_SECONDS = 2.5


@dataclass(frozen=True)
class _Grant:
    """The last lease of one entry; ``expires_at`` is monotonic time in seconds."""

    term: Term
    expires_at: float


class LeaseLedger:
    """Records which entries may use the primary of a group, and until when.

    A control leader records every lease that it grants. It does not know the leases that its
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
        self._grants: dict[GroupId, dict[InstanceId, _Grant]] = {}
        self._inherited: dict[GroupId, set[InstanceId]] = {}

    def expect_inherited(self, group: GroupId, instances: Iterable[InstanceId]) -> None:
        """Set the entries that may have an inherited lease of a group; all others have none."""
        self._inherited[group] = set(instances)

    def release_inherited(self, group: GroupId, instance: InstanceId) -> None:
        """Record that an entry has no inherited lease of a group and can no longer obtain one."""
        self._inherited.get(group, set()).discard(instance)

    def grant(self, group: GroupId, instance: InstanceId, term: Term, now: float) -> None:
        """Record a lease that is about to be sent."""
        expires_at = lease_end_at_grantor(now, self._seconds)
        self._grants.setdefault(group, {})[instance] = _Grant(term, expires_at)

    def release(self, group: GroupId, instance: InstanceId, term: Term) -> None:
        """Record that an entry released its leases up to a term."""
        grant = self._grants.get(group, {}).get(instance)
        if grant is not None and grant.term <= term:
            del self._grants[group][instance]

    def has_no_lease_before(self, group: GroupId, term: Term, now: float) -> bool:
        """Tell whether every lease of a term lower than ``term`` was released or has expired.

        The primaries of those terms then receive no further work from any entry.
        """
        if not self._has_no_inherited_lease(group, now):
            return False
        grants = self._grants.get(group, {}).values()
        return all(grant.term >= term or grant.expires_at < now for grant in grants)

    def is_complete(self, now: float) -> bool:
        """Tell whether all inherited leases have expired, so that every valid lease is recorded."""
        return now >= self._inherited_until

    def leaseholders(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may have a valid lease that this leader granted."""
        grants = self._grants.get(group, {})
        return {instance for instance, grant in grants.items() if grant.expires_at >= now}

    def unreleased_leaseholders(self, group: GroupId, term: Term, since: float) -> set[InstanceId]:
        """Return the entries that never released a lease of a term lower than ``term``.

        :param since: leases that expired before this time are left out. What an entry did under a
            lease that expired later is unknown, although that lease is no longer valid.
        """
        grants = self._grants.get(group, {})
        return {
            instance
            for instance, grant in grants.items()
            if grant.term < term and grant.expires_at >= since
        }

    def unreleased_until(self, group: GroupId, term: Term) -> float:
        """Return when the last lease of a term lower than ``term`` ends that was not released."""
        grants = self._grants.get(group, {}).values()
        return max((g.expires_at for g in grants if g.term < term), default=-math.inf)

    def possible_leaseholders(self, group: GroupId, now: float) -> set[InstanceId]:
        """Return the entries that may have a valid lease, an inherited one included."""
        held = self.leaseholders(group, now)
        return held if self.is_complete(now) else held | self._inherited.get(group, set())

    def _has_no_inherited_lease(self, group: GroupId, now: float) -> bool:
        return self.is_complete(now) or self._inherited.get(group) == set()

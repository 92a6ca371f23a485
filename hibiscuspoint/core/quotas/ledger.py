"""Division of the limits of all organisations among the entries, at the control leader."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.core.quotas.account import CLOCK_DRIFT, MILLI, QuotaAccount
from hibiscuspoint.core.quotas.bounds import SHARE_LEASE_SECONDS, QuotaBounds
from hibiscuspoint.core.quotas.changes import LimitChange
from hibiscuspoint.ids import OrganisationId
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hibiscuspoint.core.organisations import RateLimit
    from hibiscuspoint.core.quotas.account import Holding
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["QuotaLedger"]

#: Seconds between two looks at silent entries and unused shares.
TICK_SECONDS = 0.5

#: Time without a refused operation after which an organisation counts as below its limit.
BELOW_LIMIT_SECONDS = 2.0


@dataclass
class _Entry:
    """What the leader knows about the reports of one entry.

    :param is_first: the present stream is the first one under this leader.
    """

    stream: int
    reported_at: float
    is_first: bool
    accounts: dict[OrganisationId, QuotaAccount] = field(default_factory=dict)


class QuotaLedger:
    """Soft state of one leadership."""

    def __init__(self, bounds: QuotaBounds | None = None) -> None:
        self._bounds = bounds or QuotaBounds()
        self._accounts: dict[OrganisationId, QuotaAccount] = {}
        self._entries: dict[InstanceId, _Entry] = {}
        # Instances that have reported to this leader.
        self._known: set[InstanceId] = set()
        self._sequence = 0
        self._ticked_at = -math.inf
        self._changes: list[LimitChange] = []

    @property
    def share_count(self) -> int:
        """Return the number of shares in force."""
        return sum(
            1
            for account in self._accounts.values()
            for holding in account.holdings.values()
            if holding.is_bound
        )

    def take_changes(self) -> list[LimitChange]:
        """Return which organisations reached or left their limit since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def set_limits(
        self,
        limits: Mapping[OrganisationId, RateLimit | None],
        now: float,
        *,
        is_inherited: bool = False,
    ) -> None:
        """Take over the limits of the document in force.

        :param is_inherited: the document was in force before this leadership, so that entries may
            have shares of its predecessor.
        """
        for name in set(self._accounts) - {name for name, limit in limits.items() if limit}:
            del self._accounts[name]
            for entry in self._entries.values():
                entry.accounts.pop(name, None)
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if limit is None:
                continue
            if account is None:
                self._accounts[name] = QuotaAccount(
                    limit, self._bounds, now, is_successor=is_inherited
                )
            elif account.limit != limit:
                account.set_limit(limit, now)

    def record_report(self, instance: InstanceId, report: peer_pb2.EntryReport, now: float) -> None:
        """Take over the demand and the shares that an entry reports."""
        entry = self._entries.get(instance)
        if not report.quota_stream:
            if entry is not None:
                entry.reported_at = now
            return
        is_new = entry is None or entry.stream < report.quota_stream
        if is_new:
            if not report.quota_complete:
                return
            entry = self._begin_stream(instance, report.quota_stream, now)
        elif entry.stream > report.quota_stream:
            return
        seconds = self._bounds.window_seconds if is_new else now - entry.reported_at
        entry.reported_at = now
        for use in report.quota_uses:
            account = self._accounts.get(OrganisationId(use.organisation))
            if account is not None:
                self._record_use(account, instance, entry, use, (seconds, now, is_new))

    def fill_update(self, instance: InstanceId, update: peer_pb2.ControlUpdate, now: float) -> None:
        """Add the shares that an entry has not confirmed."""
        entry = self._entries.get(instance)
        if entry is None:
            return
        update.quota_stream = entry.stream
        for name, account in list(entry.accounts.items()):
            holding = account.holdings.get(instance)
            if holding is None:
                del entry.accounts[name]
                continue
            self._adjust(account, instance, holding, now)
            if not holding.is_confirmed:
                update.quota_shares.add(
                    organisation=name,
                    rate_milli=round(holding.rate * MILLI),
                    burst=holding.burst,
                    lease_ms=round(SHARE_LEASE_SECONDS * MILLISECONDS_PER_SECOND),
                    sequence=holding.sequence,
                    permits=holding.permits,
                )

    def tick(self, now: float) -> None:
        """End the shares of silent entries."""
        if now - self._ticked_at < TICK_SECONDS:
            return
        self._ticked_at = now
        lease = SHARE_LEASE_SECONDS * (1 + CLOCK_DRIFT)
        for instance, entry in list(self._entries.items()):
            if now - entry.reported_at >= lease:
                self._forget(instance, now)
                del self._entries[instance]
        for name, account in self._accounts.items():
            account.remove_unused(now)
            if account.is_limiting and now - account.refused_at >= BELOW_LIMIT_SECONDS:
                self._record_change(name, account, now)

    def _begin_stream(self, instance: InstanceId, stream: int, now: float) -> _Entry:
        """Forget the shares of an entry before it states those that it has."""
        self._forget(instance, now)
        entry = _Entry(stream, now, instance not in self._known)
        self._known.add(instance)
        self._entries[instance] = entry
        return entry

    def _forget(self, instance: InstanceId, now: float) -> None:
        for account in self._accounts.values():
            account.remove(instance, now)

    def _record_use(
        self,
        account: QuotaAccount,
        instance: InstanceId,
        entry: _Entry,
        use: peer_pb2.QuotaUse,
        timing: tuple[float, float, bool],
    ) -> None:
        seconds, now, is_new = timing
        holding = account.holdings.get(instance)
        if holding is None:
            entry.accounts[OrganisationId(use.organisation)] = account
            is_first = is_new and entry.is_first
            holding = account.adopt(instance, use, now, is_first=is_first)
            self._sequence = max(self._sequence, use.sequence)
        else:
            account.confirm(holding, use, now)
        holding.record_demand(use.admitted + use.refused, seconds, now)
        if use.wanting:
            holding.wanting_at = holding.used_at = now
            holding.is_due = True
            holding.wanted = use.wanted
        if use.refused:
            account.refused_at = now
            if not account.is_limiting:
                self._record_change(OrganisationId(use.organisation), account, now)

    def _adjust(
        self, account: QuotaAccount, instance: InstanceId, holding: Holding, now: float
    ) -> None:
        """Raise or reduce the share of an entry by its demand, if that is needed."""
        sequence = self._sequence + 1
        if holding.is_due:
            # Only a report leads to a grant, and not each of the updates that follow it.
            holding.is_due = False
            is_changed = account.grant(instance, now, sequence)
        elif account.is_idle(instance, now):
            is_changed = account.take_back(instance, sequence)
        else:
            is_changed = account.has_shortage(now) and account.reduce(instance, now, sequence)
        self._sequence += is_changed

    def _record_change(self, name: OrganisationId, account: QuotaAccount, now: float) -> None:
        account.is_limiting = not account.is_limiting
        holdings = account.holdings.values()
        self._changes.append(
            LimitChange(
                name,
                account.is_limiting,
                account.limit,
                sum(holding.weight(now) for holding in holdings),
                sum(1 for holding in holdings if holding.burst),
                account.permits,
            )
        )

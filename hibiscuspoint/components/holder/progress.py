"""What a holder knows about the logs of the members of one group."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.core.entry.acknowledgement import AckTracker
from hibiscuspoint.core.entry.freshness import TipSamples
from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.ids import TargetId, Term
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from hibiscuspoint.components.holder.context import HolderContext
    from hibiscuspoint.core.entry.routes import Route
    from hibiscuspoint.core.ports import TargetWatch
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import target_pb2

__all__ = ["GroupProgress", "MemberProgress"]

#: Shortest time in seconds between two tip samples; reads that arrive meanwhile share one.
SAMPLE_BATCH_SECONDS = 0.001

#: Seconds between tip samples while reads with a stated age are served.
SAMPLE_INTERVAL_SECONDS = 0.05

#: Seconds after the last read for which periodic samples continue.
SAMPLE_DEMAND_SECONDS = 5.0

#: Window in seconds over which the apply rate of a replica is measured.
RATE_WINDOW_SECONDS = 1.0


@dataclass
class MemberProgress:
    """The last progress that a member reported.

    :param received: the last record that is durable at the member.
    :param applied: index of the last record that reads see.
    :param apply_rate: records applied per second; ``None`` until it is measured.
    :param rate_from: monotonic seconds and applied index at which the present measurement began.
    """

    term: Term = Term(0)
    received: LogPosition = ZERO_POSITION
    applied: int = 0
    apply_rate: float | None = None
    rate_from: tuple[float, int] | None = None

    @property
    def log_term(self) -> Term:
        """Return the term up to which the log of the member is known to match the primary's."""
        return min(self.term, self.received.term)

    def update(self, progress: target_pb2.Progress, now: float) -> None:
        """Take a report over."""
        self.term = Term(progress.term)
        self.received = position_from(progress.received)
        self.applied = progress.applied
        self._measure_rate(now)

    def _measure_rate(self, now: float) -> None:
        if self.rate_from is None or self.applied < self.rate_from[1]:
            self.rate_from = (now, self.applied)
            return
        began, applied = self.rate_from
        if now - began >= RATE_WINDOW_SECONDS:
            self.apply_rate = (self.applied - applied) / (now - began)
            self.rate_from = (now, self.applied)


class GroupProgress:
    """Watches the members of a group, confirms positions and samples the primary's tip."""

    def __init__(self, context: HolderContext, group: GroupId) -> None:
        self._context = context
        self._group = group
        self._acks: AckTracker | None = None
        self._samples = TipSamples()
        self._route: Route | None = None
        self._watches: dict[TargetId, tuple[str, TargetWatch]] = {}
        self._members: dict[TargetId, MemberProgress] = {}
        self._changed: set[asyncio.Future] = set()
        self._sample_timer: asyncio.TimerHandle | None = None
        self._last_sample = 0.0
        self._sample_wanted_until = 0.0

    @property
    def samples(self) -> TipSamples:
        """Return the samples of the primary's tip."""
        return self._samples

    def member(self, target: TargetId) -> MemberProgress:
        """Return the progress of a member."""
        return self._members.setdefault(target, MemberProgress())

    def set_route(self, route: Route) -> None:
        """Follow a route; a new term discards what depends on the old one."""
        if self._acks is None:
            # The quorum of a group is fixed when the group is formed.
            self._acks = AckTracker(route.ack_quorum)
        self._route = route
        members = {member.target for member in route.members}
        self._acks.start_term(route.term, route.history, members)
        self._samples.start_term(route.term)
        self._fail_waiters()
        for member in route.members:
            self._watch(member.target, member.address)
        for target in self._watches.keys() - members:
            self._watches.pop(target)[1].close()
        self.notify()

    async def wait_confirmed(self, position: LogPosition, deadline: float) -> bool:
        """Wait until the quorum holds a position.

        :param deadline: monotonic time in seconds.
        :returns: false when the term ended or the time is over.
        """
        if self._acks.is_confirmed(position):
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._acks.add_waiter(position, waiter)
        self._resolve_waiters()
        remaining = max(0.0, deadline - self._context.clock.monotonic())
        try:
            async with asyncio.timeout(remaining):
                return await waiter
        except TimeoutError:
            return False

    async def wait_change(self, until: float) -> None:
        """Wait until a position, a sample or the route changes, at most until a monotonic time."""
        waiter = asyncio.get_running_loop().create_future()
        self._changed.add(waiter)
        remaining = max(0.0, until - self._context.clock.monotonic())
        try:
            async with asyncio.timeout(remaining):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._changed.discard(waiter)

    def notify(self) -> None:
        """Wake everything that waits for a change."""
        waiters, self._changed = self._changed, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def request_sample(self, arrived_at: float) -> None:
        """Sample the primary's tip unless a sample sent after ``arrived_at`` is on its way."""
        now = self._context.clock.monotonic()
        if self._sample_timer is not None or not self._samples.needs_sample_since(arrived_at, now):
            return
        delay = max(0.0, self._last_sample + SAMPLE_BATCH_SECONDS - now)
        loop = asyncio.get_running_loop()
        self._sample_timer = loop.call_later(delay, self._send_sample)

    def want_samples(self) -> None:
        """Keep sampling for a while, for reads with a stated age."""
        now = self._context.clock.monotonic()
        self._sample_wanted_until = now + SAMPLE_DEMAND_SECONDS

    def tick(self, now: float) -> None:
        """Send the periodic sample."""
        if now < self._sample_wanted_until and now - self._last_sample >= SAMPLE_INTERVAL_SECONDS:
            self.request_sample(now)

    def close(self) -> None:
        """Stop watching."""
        for _, watch in self._watches.values():
            watch.close()
        self._watches.clear()

    def _send_sample(self) -> None:
        self._sample_timer = None
        now = self._context.clock.monotonic()
        route = self._context.routes.leased_route(self._group, now)
        if route is None or route.primary not in self._watches:
            return
        self._last_sample = now
        self._watches[route.primary][1].sample(self._samples.record_request(now))

    def _watch(self, target: TargetId, address: str) -> None:
        known = self._watches.get(target)
        if known is not None and known[0] == address:
            return
        if known is not None:
            known[1].close()
            self._on_lost(target)

        def on_progress(progress: target_pb2.Progress) -> None:
            self._on_progress(target, progress)

        def on_lost() -> None:
            self._on_lost(target)

        watch = self._context.driver.watch(address, on_progress, on_lost=on_lost)
        self._watches[target] = (address, watch)

    def _on_progress(self, target: TargetId, progress: target_pb2.Progress) -> None:
        now = self._context.clock.monotonic()
        member = self.member(target)
        member.update(progress, now)
        self._acks.observe(target, member.term, member.received)
        if progress.sample_id:
            self._answer_sample(target, progress, now)
        self._resolve_waiters()
        self.notify()

    def _on_lost(self, target: TargetId) -> None:
        """Let waiting reads sample again when the stream to the primary ended."""
        if self._route.primary != target:
            return
        self._samples.discard_pending()
        self.notify()

    def _answer_sample(self, target: TargetId, progress: target_pb2.Progress, now: float) -> None:
        route = self._context.routes.leased_route(self._group, now)
        lease_valid = route is not None and route.primary == target and progress.primary
        term = Term(progress.term)
        is_current = route is not None and route.term == term
        if is_current:
            tip = progress.received.index
            self._samples.record_answer(progress.sample_id, term, tip, lease_valid)

    def _resolve_waiters(self) -> None:
        for waiter in self._acks.pop_confirmed_waiters():
            _resolve(waiter, True)
        self._fail_waiters()

    def _fail_waiters(self) -> None:
        for waiter in self._acks.pop_failed_waiters():
            _resolve(waiter, False)


def _resolve(waiter: asyncio.Future, confirmed: bool) -> None:
    if not waiter.done():
        waiter.set_result(confirmed)

"""Log positions of the members of one group, as a holder observes them."""

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

#: Minimum interval in seconds between two tip samples; reads that arrive within it share one.
MIN_SAMPLE_INTERVAL_SECONDS = 0.001

#: Interval in seconds of the periodic tip samples for reads with a maximum age.
PERIODIC_SAMPLE_INTERVAL_SECONDS = 0.05

#: Seconds for which periodic samples continue after the last read with a maximum age.
PERIODIC_SAMPLE_DURATION_SECONDS = 5.0

#: Shortest window in seconds over which the apply rate of a replica is measured.
RATE_WINDOW_SECONDS = 1.0


@dataclass
class MemberProgress:
    """The latest progress that a member reported.

    :param term: term that the member reported.
    :param received: position of the last record that is durable at the member.
    :param applied: index of the last record that is visible to reads.
    :param apply_rate: records applied per second; ``None`` until the first measurement.
    :param rate_window_start: monotonic time in seconds and applied index at the start of the
        current measurement.
    """

    term: Term = Term(0)
    received: LogPosition = ZERO_POSITION
    applied: int = 0
    apply_rate: float | None = None
    rate_window_start: tuple[float, int] | None = None

    @property
    def log_term(self) -> Term:
        """Term up to which the log of the member certainly matches the log of the primary."""
        return min(self.term, self.received.term)

    def update(self, progress: target_pb2.Progress, now: float) -> None:
        """Apply a progress report and update the apply rate."""
        self.term = Term(progress.term)
        self.received = position_from(progress.received)
        self.applied = progress.applied
        self._measure_rate(now)

    def _measure_rate(self, now: float) -> None:
        if self.rate_window_start is None or self.applied < self.rate_window_start[1]:
            self.rate_window_start = (now, self.applied)
            return
        started_at, applied = self.rate_window_start
        if now - started_at >= RATE_WINDOW_SECONDS:
            self.apply_rate = (self.applied - applied) / (now - started_at)
            self.rate_window_start = (now, self.applied)


class GroupProgress:
    """Tracks the log positions of the members of a group.

    It watches the progress of each member, resolves waits for a quorum acknowledgement, and
    samples the tip of the primary.
    """

    def __init__(self, context: HolderContext, group: GroupId) -> None:
        self._context = context
        self._group = group
        self._ack_tracker: AckTracker | None = None
        self._samples = TipSamples()
        self._route: Route | None = None
        self._watches: dict[TargetId, tuple[str, TargetWatch]] = {}
        self._members: dict[TargetId, MemberProgress] = {}
        self._change_waiters: set[asyncio.Future] = set()
        self._sample_timer: asyncio.TimerHandle | None = None
        self._last_sample_at = 0.0
        self._periodic_samples_until = 0.0

    @property
    def samples(self) -> TipSamples:
        """Samples of the tip of the primary."""
        return self._samples

    def member(self, target: TargetId) -> MemberProgress:
        """Return the progress of a member, empty before its first report."""
        return self._members.setdefault(target, MemberProgress())

    def set_route(self, route: Route) -> None:
        """Apply a route; a higher term discards samples and pending waits of the former term."""
        if self._ack_tracker is None:
            # The quorum of a group is fixed when the group is formed.
            self._ack_tracker = AckTracker(route.ack_quorum)
        self._route = route
        members = {member.target for member in route.members}
        self._ack_tracker.start_term(route.term, route.history, members)
        self._samples.start_term(route.term)
        self._fail_waiters()
        for member in route.members:
            self._start_watch(member.target, member.address)
        for target in self._watches.keys() - members:
            self._watches.pop(target)[1].close()
        self.notify_waiters()

    async def wait_for_quorum(self, position: LogPosition, deadline: float) -> bool:
        """Wait until a quorum of members holds the record at a position.

        :param deadline: monotonic time in seconds.
        :returns: false when the term ended or the deadline passed first.
        """
        if self._ack_tracker.is_confirmed(position):
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._ack_tracker.add_waiter(position, waiter)
        self._resolve_waiters()
        remaining = max(0.0, deadline - self._context.clock.monotonic())
        try:
            async with asyncio.timeout(remaining):
                return await waiter
        except TimeoutError:
            return False

    async def wait_for_change(self, until: float) -> None:
        """Wait until a position, a sample or the route changes.

        :param until: monotonic time in seconds at which the wait ends in any case.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._change_waiters.add(waiter)
        remaining = max(0.0, until - self._context.clock.monotonic())
        try:
            async with asyncio.timeout(remaining):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._change_waiters.discard(waiter)

    def notify_waiters(self) -> None:
        """Resume all waits for a change."""
        waiters, self._change_waiters = self._change_waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def request_sample(self, arrived_at: float) -> None:
        """Schedule a tip sample unless one sent after ``arrived_at`` is answered or pending.

        :param arrived_at: monotonic time in seconds at which the read arrived.
        """
        now = self._context.clock.monotonic()
        if self._sample_timer is not None or not self._samples.needs_sample_since(arrived_at, now):
            return
        delay = max(0.0, self._last_sample_at + MIN_SAMPLE_INTERVAL_SECONDS - now)
        loop = asyncio.get_running_loop()
        self._sample_timer = loop.call_later(delay, self._send_sample)

    def enable_periodic_samples(self) -> None:
        """Enable periodic tip samples for the next ``PERIODIC_SAMPLE_DURATION_SECONDS``."""
        now = self._context.clock.monotonic()
        self._periodic_samples_until = now + PERIODIC_SAMPLE_DURATION_SECONDS

    def tick(self, now: float) -> None:
        """Request a periodic sample when it is due."""
        if (
            now < self._periodic_samples_until
            and now - self._last_sample_at >= PERIODIC_SAMPLE_INTERVAL_SECONDS
        ):
            self.request_sample(now)

    def close(self) -> None:
        """Close the watch streams to all members."""
        for _, watch in self._watches.values():
            watch.close()
        self._watches.clear()

    def _send_sample(self) -> None:
        self._sample_timer = None
        now = self._context.clock.monotonic()
        route = self._context.routes.leased_route(self._group, now)
        if route is None or route.primary not in self._watches:
            return
        self._last_sample_at = now
        self._watches[route.primary][1].sample(self._samples.record_request(now))

    def _start_watch(self, target: TargetId, address: str) -> None:
        existing = self._watches.get(target)
        if existing is not None and existing[0] == address:
            return
        if existing is not None:
            existing[1].close()
            self._on_watch_lost(target)

        def on_progress(progress: target_pb2.Progress) -> None:
            self._on_progress(target, progress)

        def on_lost() -> None:
            self._on_watch_lost(target)

        watch = self._context.driver.watch(address, on_progress, on_lost=on_lost)
        self._watches[target] = (address, watch)

    def _on_progress(self, target: TargetId, progress: target_pb2.Progress) -> None:
        now = self._context.clock.monotonic()
        member = self.member(target)
        member.update(progress, now)
        self._ack_tracker.observe(target, member.term, member.received)
        if progress.sample_id:
            self._record_sample(target, progress, now)
        self._resolve_waiters()
        self.notify_waiters()

    def _on_watch_lost(self, target: TargetId) -> None:
        """Discard pending samples when the stream to the primary is lost; reads send new ones."""
        if self._route.primary != target:
            return
        self._samples.discard_pending()
        self.notify_waiters()

    def _record_sample(self, target: TargetId, progress: target_pb2.Progress, now: float) -> None:
        route = self._context.routes.leased_route(self._group, now)
        lease_valid = route is not None and route.primary == target and progress.primary
        term = Term(progress.term)
        is_current = route is not None and route.term == term
        if is_current:
            tip = progress.received.index
            self._samples.record_answer(progress.sample_id, term, tip, lease_valid)

    def _resolve_waiters(self) -> None:
        for waiter in self._ack_tracker.pop_confirmed_waiters():
            _resolve(waiter, True)
        self._fail_waiters()

    def _fail_waiters(self) -> None:
        for waiter in self._ack_tracker.pop_failed_waiters():
            _resolve(waiter, False)


def _resolve(waiter: asyncio.Future, confirmed: bool) -> None:
    if not waiter.done():
        waiter.set_result(confirmed)

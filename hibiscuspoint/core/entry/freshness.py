"""Samples of the primary's tip, from which the age of replica data is bounded (design D6)."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import OrderedDict

from hibiscuspoint.ids import Term

__all__ = ["TipSamples"]

#: Maximum number of unanswered samples; a new one replaces the oldest.
_MAX_PENDING_SAMPLES = 64
#: Number of answered samples above which they are thinned out.
_MAX_SAMPLES = 128
#: Maximum number of samples after thinning out, to leave room for new ones.
_MAX_THINNED_SAMPLES = 96
#: Newest samples, which thinning out always keeps.
_MIN_RECENT_SAMPLES = 32
#: Minimum interval between older samples after thinning out, as a fraction of their age.
_MIN_INTERVAL_PER_AGE = 1 / 12
#: Seconds after which an unanswered sample counts as lost, as for silent connections (design D11).
_SAMPLE_TIMEOUT_SECONDS = 0.5


class TipSamples:
    """Answered and pending samples of the tip of one group.

    A sample is a request to the primary, sent at time s and answered with tip P. Every write
    acknowledged before s is at or below P, so the data of a replica whose applied index is P or
    higher is at most ``now - s`` old. Times are seconds of the entry's monotonic clock.
    """

    def __init__(self) -> None:
        self._term = Term(0)
        self._next_id = 1
        self._pending: OrderedDict[int, float] = OrderedDict()
        # Send times and tips of the answered samples, both strictly ascending. A sample that was
        # sent before another one and has the same or a higher tip is left out, as it never gives a
        # better bound.
        self._sent_at: list[float] = []
        self._tips: list[int] = []

    @property
    def term(self) -> Term:
        """Term of the samples."""
        return self._term

    def start_term(self, term: Term) -> None:
        """Discard all samples of lower terms, as their indexes may have been overwritten."""
        if term <= self._term:
            return
        self._term = term
        self._sent_at.clear()
        self._tips.clear()
        self._pending.clear()

    def record_request(self, now: float) -> int:
        """Record that a sample request is about to be sent and return its id, which is never 0.

        :param now: clock reading before sending. An earlier time is safe; a later one would
            understate the age of the data.
        """
        sample_id = self._next_id
        self._next_id += 1
        self._discard_timed_out(now)
        if len(self._pending) >= _MAX_PENDING_SAMPLES:
            self._pending.popitem(last=False)
        self._pending[sample_id] = now
        return sample_id

    def record_answer(
        self, sample_id: int, term: Term, tip_index: int, lease_valid: bool
    ) -> float | None:
        """Record an answer; return when its request was sent, or None if the answer is not used.

        :param sample_id: id from :meth:`record_request`.
        :param term: term in which the primary answered.
        :param tip_index: index of the tip in the answer.
        :param lease_valid: whether the route lease of that term is valid when the answer arrives.
        """
        if term < self._term:
            self._pending.pop(sample_id, None)
            return None
        sent_at = self._pending.pop(sample_id, None)
        self.start_term(term)
        if sent_at is None or not lease_valid:
            return None
        self._insert(sent_at, tip_index)
        return sent_at

    def discard_pending(self) -> None:
        """Discard the unanswered samples, as the stream to the primary that carried them ended."""
        self._pending.clear()

    def lowest_tip_since(self, earliest: float) -> int | None:
        """Return the lowest tip of the samples sent at or after ``earliest``; None without one."""
        first = bisect_left(self._sent_at, earliest)
        return self._tips[first] if first < len(self._tips) else None

    def needs_sample_since(self, earliest: float, now: float | None = None) -> bool:
        """Return whether no sample sent at or after ``earliest`` is answered or pending.

        :param now: if given, samples without an answer for 500 ms count as lost.
        """
        if now is not None:
            self._discard_timed_out(now)
        if self._sent_at and self._sent_at[-1] >= earliest:
            return False
        return all(sent_at < earliest for sent_at in self._pending.values())

    def _discard_timed_out(self, now: float) -> None:
        while self._pending and now - next(iter(self._pending.values())) > _SAMPLE_TIMEOUT_SECONDS:
            self._pending.popitem(last=False)

    def _insert(self, sent_at: float, tip: int) -> None:
        later = bisect_left(self._sent_at, sent_at)
        if later < len(self._tips) and self._tips[later] <= tip:
            return
        end = bisect_right(self._sent_at, sent_at)
        begin = bisect_left(self._tips, tip, 0, later)
        self._sent_at[begin:end] = [sent_at]
        self._tips[begin:end] = [tip]
        if len(self._tips) > _MAX_SAMPLES:
            self._thin_out()

    def _thin_out(self) -> None:
        """Keep the newest samples, and older ones at intervals of at least a twelfth of their age.

        If the oldest samples were discarded instead, frequent samples would leave no bound for a
        replica with high lag. Thinning out only makes its bound slightly too high.
        """
        newest = self._sent_at[-1]
        kept = list(range(len(self._sent_at) - _MIN_RECENT_SAMPLES, len(self._sent_at)))
        for index in range(kept[0] - 1, -1, -1):
            interval = self._sent_at[kept[0]] - self._sent_at[index]
            if interval >= (newest - self._sent_at[index]) * _MIN_INTERVAL_PER_AGE:
                kept.insert(0, index)
        kept = kept[-_MAX_THINNED_SAMPLES:]
        self._sent_at = [self._sent_at[index] for index in kept]
        self._tips = [self._tips[index] for index in kept]

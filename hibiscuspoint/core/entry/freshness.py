"""Samples of the primary's tip, which bound the age of replica data (design D6)."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import OrderedDict

from hibiscuspoint.ids import Term

__all__ = ["TipSamples"]

#: Unanswered samples that are kept; the oldest is given up for a new one.
_MAX_PENDING = 64
#: Answered samples that are kept before they are thinned out.
_MAX_SAMPLES = 128
#: Greatest number of samples after thinning out; the rest is room for new ones.
_KEPT_WHEN_FULL = 96
#: Newest samples that thinning out keeps whatever their distance.
_NEWEST_KEPT = 32
#: Least distance of older samples after thinning out, as a share of their age.
_RELATIVE_DISTANCE = 1 / 12
#: Seconds after which an unanswered sample is given up, as for silent connections (D11).
_PENDING_SECONDS = 0.5


class TipSamples:
    """Answered and pending samples of one group.

    A sample is a request sent at time s and answered with tip P. Every write acknowledged before
    s is at or below P, so a replica whose applied index is at or past P is no older than
    ``now - s``. Times are seconds of the entry's monotonic clock.
    """

    def __init__(self) -> None:
        self._term = Term(0)
        self._next_id = 1
        self._pending: OrderedDict[int, float] = OrderedDict()
        # Useful samples only: both lists ascend strictly. A sample that was sent earlier and has
        # the same or a higher tip than another one never gives a better bound.
        self._sent: list[float] = []
        self._tips: list[int] = []

    @property
    def term(self) -> Term:
        """Return the term of the samples."""
        return self._term

    def start_term(self, term: Term) -> None:
        """Discard all samples of lower terms; their indexes may have been rewritten."""
        if term <= self._term:
            return
        self._term = term
        self._sent.clear()
        self._tips.clear()
        self._pending.clear()

    def record_request(self, now: float) -> int:
        """Record that a request is being sent and return its sample id, never 0.

        :param now: read from the clock before sending; an earlier time is safe, a later one not.
        """
        sample_id = self._next_id
        self._next_id += 1
        self._forget_silent(now)
        if len(self._pending) >= _MAX_PENDING:
            self._pending.popitem(last=False)
        self._pending[sample_id] = now
        return sample_id

    def record_answer(
        self, sample_id: int, term: Term, tip_index: int, lease_valid: bool
    ) -> float | None:
        """Record an answer and return when its request was sent, or None when it is of no use.

        :param term: term in which the primary answered.
        :param lease_valid: whether the route lease of that term is valid at the arrival.
        """
        if term < self._term:
            self._pending.pop(sample_id, None)
            return None
        sent_at = self._pending.pop(sample_id, None)
        self.start_term(term)
        if sent_at is None or not lease_valid:
            return None
        self._add(sent_at, tip_index)
        return sent_at

    def discard_pending(self) -> None:
        """Give up the samples under way, as the stream to the primary that carried them ended."""
        self._pending.clear()

    def lowest_tip_since(self, earliest: float) -> int | None:
        """Return the lowest tip that a request sent at or after ``earliest`` saw."""
        first = bisect_left(self._sent, earliest)
        return self._tips[first] if first < len(self._tips) else None

    def needs_sample_since(self, arrival: float, now: float | None = None) -> bool:
        """Tell whether no sample sent at or after ``arrival`` is answered or on its way.

        :param now: when given, requests without an answer for 500 ms count as lost.
        """
        if now is not None:
            self._forget_silent(now)
        if self._sent and self._sent[-1] >= arrival:
            return False
        return all(sent_at < arrival for sent_at in self._pending.values())

    def _forget_silent(self, now: float) -> None:
        while self._pending and now - next(iter(self._pending.values())) > _PENDING_SECONDS:
            self._pending.popitem(last=False)

    def _add(self, sent_at: float, tip: int) -> None:
        later = bisect_left(self._sent, sent_at)
        if later < len(self._tips) and self._tips[later] <= tip:
            return
        end = bisect_right(self._sent, sent_at)
        begin = bisect_left(self._tips, tip, 0, later)
        self._sent[begin:end] = [sent_at]
        self._tips[begin:end] = [tip]
        if len(self._tips) > _MAX_SAMPLES:
            self._thin_out()

    def _thin_out(self) -> None:
        """Keep the newest samples, and older ones at distances of a twelfth of their age or more.

        Dropping the oldest instead would leave a replica with high lag without any bound when
        samples are frequent; this way its bound is a little too high.
        """
        newest = self._sent[-1]
        kept = list(range(len(self._sent) - _NEWEST_KEPT, len(self._sent)))
        for index in range(kept[0] - 1, -1, -1):
            distance = self._sent[kept[0]] - self._sent[index]
            if distance >= (newest - self._sent[index]) * _RELATIVE_DISTANCE:
                kept.insert(0, index)
        kept = kept[-_KEPT_WHEN_FULL:]
        self._sent = [self._sent[index] for index in kept]
        self._tips = [self._tips[index] for index in kept]

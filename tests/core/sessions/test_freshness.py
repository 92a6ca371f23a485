"""Tests of the positions that reads must reach."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.position import LogPosition
from hibiscuspoint.core.sessions import TipLog
from hibiscuspoint.core.sessions.freshness import MARGIN_SECONDS
from hibiscuspoint.ids import Term


def _position(index: int) -> LogPosition:
    return LogPosition(Term(1), index)


def test_old_samples_do_not_count():
    """Guards against a read that is older than its route allows."""
    tips = TipLog()
    tips.add(10.0, _position(5))
    assert tips.required(1.5, 11.0) == _position(5)
    assert tips.required(1.5, 11.5) is None


def test_lowest_sufficient_position_is_required():
    """Guards against reads that lagging replicas could serve and that go to the primary."""
    tips = TipLog()
    tips.add(10.0, _position(5))
    tips.add(10.5, _position(9))
    assert tips.required(1.5, 11.0) == _position(5)


@given(
    st.lists(st.tuples(st.floats(0.0, 20.0), st.integers(0, 5)), max_size=30),
    st.floats(0.2, 5.0),
    st.floats(0.0, 25.0),
)
def test_required_position_covers_every_commit_before_the_maximum_age(steps, max_age, now):
    """Guards against a missing commit that was acknowledged before the maximum age."""
    tips = TipLog()
    commits = []
    index = 0
    for at, count in sorted(steps):
        if at > now:
            break
        index += count
        commits.append((at, index))
        tips.add(at, _position(index))
    required = tips.required(max_age, now)
    if required is None:
        return
    before = [committed for at, committed in commits if at <= now - max_age + MARGIN_SECONDS]
    assert required.index >= max(before, default=0)

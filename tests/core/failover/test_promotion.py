"""Property tests of the choice of a new primary.

``floor`` is the position at or above every acknowledged commit, if it is known.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.failover.promotion import (
    CHOICE_GRACE_SECONDS,
    Acknowledgements,
    PromotionRound,
)
from hibiscuspoint.ids import TargetId, Term
from tests.builders_failover import (
    PRIMARY,
    position,
    primary_status,
    replica_status,
    started_group,
    target,
)

_INDEXES = st.integers(1, 5)


@st.composite
def _groups(draw: st.DrawFn) -> dict[str, object]:
    """Return a group whose primary was lost: what each replica holds, and which ones answer."""
    count = draw(st.integers(1, 3))
    replicas = {TargetId(f"i-{number}"): draw(_INDEXES) for number in range(count)}
    # A commit is acknowledged when the primary and one replica hold it.
    acknowledged = draw(st.integers(0, max(replicas.values())))
    answering = draw(st.sets(st.sampled_from(sorted(replicas))))
    return {"replicas": replicas, "acknowledged": acknowledged, "answering": answering}


def _round(group: dict[str, object], *, keeps_former: bool) -> PromotionRound:
    record = started_group(
        phase=GroupPhase.SEALING, term=Term(2), primary=None, former_primary=PRIMARY
    )
    record.targets = {name: target(name) for name in (PRIMARY, *group["replicas"])}
    current = PromotionRound(record, Term(2), 0.0, keeps_former)
    for name in group["answering"]:
        current.paused.positions[name] = position(group["replicas"][name])
    return current


def _chosen(current: PromotionRound, floor, statuses=None) -> TargetId | None:
    """Return the choice after the time for further answers."""
    known = Acknowledgements(floor)
    current.choose_target(statuses or {}, known, 0.0)
    return current.choose_target(statuses or {}, known, CHOICE_GRACE_SECONDS)


@given(_groups(), st.booleans())
def test_chosen_replica_holds_every_acknowledged_commit(group, is_floor_known):
    """Guards against a promotion that loses an acknowledged commit, whoever answers."""
    floor = position(group["acknowledged"]) if is_floor_known else None
    chosen = _chosen(_round(group, keeps_former=True), floor)
    if chosen is not None:
        assert group["replicas"][chosen] >= group["acknowledged"]


@given(_groups(), st.integers(0, 3))
def test_former_primary_that_stepped_down_counts_as_well(group, ahead):
    """Guards against a choice below what the former primary acknowledged."""
    current = _round(group, keeps_former=False)
    last = max(group["replicas"].values()) + ahead
    current.record.former_end = position(last)
    chosen = _chosen(current, None, {PRIMARY: replica_status(last)})
    held = {**group["replicas"], PRIMARY: last}
    if chosen is not None:
        assert held[chosen] >= group["acknowledged"]


@given(_groups())
def test_every_replica_or_the_floor_decides(group):
    """Guards against an outage although the choice would be certain."""
    group["answering"] = set(group["replicas"])
    assert _chosen(_round(group, keeps_former=True), None) is not None
    best = max(group["replicas"], key=group["replicas"].get)
    group["answering"] = {best}
    assert _chosen(_round(group, keeps_former=True), position(group["acknowledged"])) is not None


@given(_groups())
def test_primary_that_answers_is_kept_only_if_its_loss_can_be_reversed(group):
    """Guards against a needless promotion, and against keeping a primary that commits nothing."""
    statuses = {PRIMARY: primary_status(9)}
    assert _chosen(_round(group, keeps_former=True), None, statuses) == PRIMARY
    assert _chosen(_round(group, keeps_former=False), None, statuses) != PRIMARY

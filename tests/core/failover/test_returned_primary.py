"""Orders of events in which a primary comes back while a replica is replaced."""

from __future__ import annotations

from tests.builders_databases import run_returned_primary

#: Seeds that once left a service without a primary, or lost a commit, and some others.
REGRESSIONS = (111, 271, 755, 975, 1051, 1138, 1226, 1657)
SEEDS = (*range(100), *REGRESSIONS)


def test_group_is_served_again_and_keeps_every_commit():
    """Guards against a service without a primary for good, and against lost commits.

    The primary returns under a new or its own id, as a primary or a replica, while one replica is
    replaced, another one restarts, and the control leader changes, in any order.
    """
    models = {seed: run_returned_primary(seed) for seed in SEEDS}
    assert not {seed: model.losses for seed, model in models.items() if model.losses}
    assert not [seed for seed, model in models.items() if not model.is_served]

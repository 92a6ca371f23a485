"""Tests of what the last replies of targets prove, some of which may repeat earlier ones."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.failover.contacts import TargetContacts
from tests.builders_failover import (
    PRIMARY,
    REPLICA_A,
    REPLICA_B,
    position,
    primary_status,
    replica_status,
    started_group,
)

NOW = 100.0


def _contacts(primary_read_at: float, replica_read_at: float) -> TargetContacts:
    contacts = TargetContacts(started_group(), NOW)
    contacts.record_contact(REPLICA_B, NOW + 1.0)
    polled_at = NOW + 2.0
    contacts.record_status(PRIMARY, primary_status(5), polled_at, polled_at, primary_read_at)
    contacts.record_status(REPLICA_A, replica_status(5), polled_at, polled_at, replica_read_at)
    return contacts


def test_position_is_as_old_as_the_reply_that_proves_it():
    """Guards against stale reads behind a position that is older than the poll it came with."""
    contacts = _contacts(NOW + 0.5, NOW + 2.0)
    assert contacts.primary_tip() == (position(5), NOW + 0.5)
    assert contacts.position_since(PRIMARY, NOW + 0.4) == position(5)
    assert contacts.position_since(PRIMARY, NOW + 0.5) is None
    # The target has answered all the same.
    assert contacts.current_primary(NOW + 2.1) == PRIMARY


@pytest.mark.parametrize(
    ("primary_read_at", "replica_read_at", "is_held"),
    [(2.0, 2.0, True), (0.9, 2.0, False), (2.0, 0.9, False), (2.0, 1.1, False), (1.8, 1.1, True)],
)
def test_lost_log_is_held_only_where_both_positions_are_newer(
    primary_read_at, replica_read_at, is_held
):
    """Guards against lost commits: replica B, silent since second 1, may have confirmed more."""
    contacts = _contacts(NOW + primary_read_at, NOW + replica_read_at)
    assert contacts.is_log_held_elsewhere(REPLICA_B) is is_held

"""Tests of request ids, their table and recorded outcomes."""

from __future__ import annotations

import sqlite3

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.entry import MAX_OUTCOME_BYTES, IdempotencyPolicy, Outcome, idempotency
from hibiscuspoint.errors import IdempotencyExpiredError, RequestError
from hibiscuspoint.ids import RequestId
from hibiscuspoint.verdict import Verdict
from tests.builders_entry import result_set, statement

_ID = RequestId("id-1")
_DAY = 24 * 3600
_STATEMENTS = st.lists(st.lists(st.text(max_size=3), min_size=1, max_size=3), max_size=3)


@given(st.floats(-3 * _DAY, 3 * _DAY), st.integers(0, 2**41))
def test_id_outside_the_retention_is_rejected(age, issued_at_ms):
    """An id whose row may be purged could run twice (guarantee G6)."""
    unix_now = issued_at_ms / 1000 + age
    policy = IdempotencyPolicy()
    try:
        policy.check(_ID, issued_at_ms, unix_now)
    except RequestError as error:
        assert error.verdict is Verdict.NOT_RUN
        assert age < -59.9
    except IdempotencyExpiredError as error:
        assert error.verdict is Verdict.MAY_HAVE_RUN
        assert age > _DAY - 0.1
    else:
        assert -60.1 < age < _DAY + 0.1
        assert policy.purge_before_ms(unix_now + _DAY / 2) < issued_at_ms


@given(_STATEMENTS, _STATEMENTS)
def test_digest_distinguishes_requests(left, right):
    """A reused id with another body would get the outcome of the first body."""
    digests = [
        idempotency.request_digest(statement(sql, *texts) for sql, *texts in body)
        for body in (left, right)
    ]
    assert (digests[0] == digests[1]) == (left == right)
    assert len(digests[0]) == 16


def _run(database, built):
    values = [getattr(value, value.WhichOneof("kind")) for value in built.parameters]
    return database.execute(built.sql, values).fetchall()


def test_statements_work_on_a_database():
    """A claim that does not conflict, or an outcome that is not found, runs a request twice."""
    database = sqlite3.connect(":memory:")
    for _ in range(2):
        _run(database, idempotency.create_table_statement())
    _run(database, idempotency.claim_statement(_ID, 1000, b"digest"))
    with pytest.raises(sqlite3.IntegrityError):
        _run(database, idempotency.claim_statement(_ID, 2000, b"other"))
    _run(database, idempotency.store_outcome_statement(_ID, b"outcome"))
    assert _run(database, idempotency.lookup_statement(_ID)) == [(b"digest", b"outcome")]
    _run(database, idempotency.purge_statement(1000))
    assert len(_run(database, idempotency.lookup_statement(_ID))) == 1
    _run(database, idempotency.purge_statement(1001))
    assert _run(database, idempotency.lookup_statement(_ID)) == []


@given(st.lists(st.lists(st.integers(0, 6000), max_size=5), max_size=4))
def test_outcome_is_complete_or_says_so(sizes):
    """A replay with silently missing rows would be an incomplete response (guarantee G4)."""
    results = [result_set(*("x" * size for size in rows)) for rows in sizes]
    encoded = Outcome.from_results(results).encode()
    assert len(encoded) <= MAX_OUTCOME_BYTES
    replayed = Outcome.decode(encoded)
    assert replayed.verdict is Verdict.DONE
    assert bool(replayed.note) == replayed.without_rows
    assert [r.row_count for r in replayed.results] == [len(rows) for rows in sizes]
    if not replayed.without_rows:
        assert list(replayed.results) == results
    else:
        assert sum(map(sum, sizes)) > MAX_OUTCOME_BYTES / 2
        assert not any(result.rows or result.columns for result in replayed.results)


def test_outcome_of_a_very_long_batch_fits():
    """Counts of thousands of statements alone would exceed the limit of the column."""
    outcome = Outcome.from_results([result_set("x")] * 3000)
    assert outcome.without_rows
    assert len(outcome.encode()) <= MAX_OUTCOME_BYTES

"""Tests of the environment document."""

from __future__ import annotations

import hashlib

import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.document import Change, Document, diff, promoted
from hibiscuspoint.errors import ConfigurationError
from tests.builders import document, environment, toml_tables

TEXT = """
number = 1   # first
environment = "trial"
[[group]]
name = "ledger"
holders = 2
members = 3
[group.reads]
max_age_ms_limit = 2000
[[group]]
name = "audit"
members = 5
"""

SAME_MEANING = """
environment = "trial"
number = 1
[[group]]
members = 5
name = "audit"
ack_quorum = 3
[[group]]
name = "ledger"
reads = { max_age_ms_limit = 2000 }
[limits]
retry_ratio = 0.1
"""


def test_digest_depends_on_the_meaning_only():
    """Guards against a conflict between two copies that differ in comments, order or defaults."""
    assert Document.from_text(TEXT).digest == Document.from_text(SAME_MEANING).digest


def test_digest_is_stable_between_versions():
    """Guards against instances of two versions that disagree on an accepted document."""
    canonical = (
        '{"environment":"trial","group":[{"members":5,"name":"audit"},'
        '{"name":"ledger","reads":{"max_age_ms_limit":2000}}],"number":1}'
    )
    assert Document.from_text(TEXT).digest == hashlib.sha256(canonical.encode()).hexdigest()


@pytest.mark.parametrize(
    "change",
    [
        {"number": 2},
        {"environment": "production"},
        {"limits": {"queue_length": 201}},
        {"group": [{"name": "ledger", "ack_quorum": 3}]},
        {"group": []},
    ],
)
def test_digest_differs_with_the_meaning(change):
    """Guards against two documents that share a digest and so count as one submission."""
    assert document(**change).digest != document().digest


def test_diff_names_keys_with_defaults_applied():
    """Guards against changes that an operator does not see before applying."""
    old = document(group=[{"name": "ledger"}, {"name": "mill"}])
    new = document(number=2, group=[{"name": "ledger", "members": 5, "reads": {}}])
    changes = diff(old, new)
    assert Change("number", 1, 2) in changes
    assert Change("group.ledger.members", 3, 5) in changes
    assert Change("group.ledger.ack_quorum", 2, 3) in changes
    assert Change("group.mill", "present", None) in changes
    assert not any(change.key.startswith("group.ledger.reads") for change in changes)
    assert diff(old, old) == []


def test_promoted_document_keeps_all_rules():
    """Guards against production running rules that were never tried."""
    source = Document.from_text(TEXT)
    target = Document.from_text(promoted(source, "production", 7))
    assert [change.key for change in diff(source, target)] == ["environment", "number"]
    assert promoted(Document.from_text(promoted(target, "trial", 1)), "production", 7) == promoted(
        source, "production", 7
    )


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"number": 0}, "number: should be greater than or equal to 1"),
        ({"number": True}, "number: should be a valid integer"),
        ({"group": [{"name": "a"}, {"name": "a"}]}, "used twice: a"),
        ({"group": [{"name": "a", "members": 4}]}, "group[0].members: is even"),
        ({"group": [{"name": "a", "members": 9}]}, "allowed: 1, 3, 5, 7"),
        ({"group": [{"name": "a", "ack_quorum": 1}]}, "2 to 3 is needed"),
        ({"group": [{"name": "a", "ack_quorum": 4}]}, "2 to 3 is needed"),
        ({"group": [{"name": "a", "slots": 3, "connections": 2}]}, "larger than connections"),
        ({"group": [{"name": "a", "reads": {"max_age": 1}}]}, "group[0].reads.max_age: is not a"),
        # A default age would serve stale data to a read that states none (G10).
        ({"group": [{"name": "a", "reads": {"default_max_age_ms": 2}}]}, "max_age_ms: is not a"),
        ({"group": [{"name": "a", "service_levels": {"read_latency_ms": 9}}]}, "need each other"),
        ({"group": [{"name": "a", "service_levels": {"freshness": 1.0}}]}, "less than 1"),
        ({"limits": {"retry_ratio": float("nan")}}, "finite number"),
    ],
)
def test_invalid_documents_are_refused(change, reason):
    """Guards against a document that the groups cannot follow."""
    with pytest.raises(ConfigurationError) as caught:
        document(**change)
    assert reason in caught.value.message


@given(toml_tables(("environment", "number", "group", "limits", "promotion"), environment()))
def test_any_table_gives_a_document_or_one_error(data):
    """Guards against a leader that fails on a submitted document."""
    text = tomli_w.dumps(data)
    try:
        parsed = Document.from_text(text)
    except ConfigurationError:
        return
    assert Document.from_text(tomli_w.dumps(data)).digest == parsed.digest


@given(st.text(max_size=200))
def test_any_text_gives_one_error(text):
    """Guards against TOML that the parser rejects with an unexpected exception."""
    with pytest.raises(ConfigurationError):
        Document.from_text(text)


@given(
    st.lists(
        st.fixed_dictionaries(
            {"name": st.sampled_from(["a", "b", "c"])},
            optional={
                "members": st.sampled_from([1, 3, 5, 7]),
                "holders": st.integers(1, 64),
                "default_timeout_ms": st.integers(1, 9_000),
            },
        ),
        unique_by=lambda group: group["name"],
    ),
    st.integers(1, 2**62),
)
def test_promotion_and_order_keep_the_digest(groups, number):
    """Guards against a promoted document that a repeated promotion does not recognize."""
    source = document(group=groups)
    first = Document.from_text(promoted(source, "production", number))
    shuffled = document(group=groups[::-1])
    second = Document.from_text(promoted(shuffled, "production", number))
    assert first.digest == second.digest

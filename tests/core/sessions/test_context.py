"""Tests of the context of connections that sessions share."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.sessions import ConnectionContext, PreparedStatement, SessionContext

_VALUES = st.dictionaries(st.sampled_from("abcd"), st.sampled_from("123"), max_size=4)


def _apply(context: ConnectionContext, target: dict[str, str], session: SessionContext) -> None:
    """Perform a preparation at a model of a target."""
    plan = context.preparation(session, None)
    if plan.needs_reset:
        target.clear()
        context.record_reset()
    for name, value in plan.values:
        target[name] = value
        context.record_value(name, value)


@given(st.lists(_VALUES, min_size=1, max_size=8))
def test_values_at_the_target_are_exactly_those_of_the_session(sessions):
    """Guards against a statement that runs with the values of another caller."""
    context, target = ConnectionContext(), {}
    for values in sessions:
        _apply(context, target, SessionContext(values=values))
        assert target == values


def test_equal_names_of_different_callers_do_not_collide():
    """Guards against the execution of another caller's prepared statement."""
    context = ConnectionContext()
    read, write = PreparedStatement(False, "q1"), PreparedStatement(True, "q2")
    plan = context.preparation(SessionContext(), read)
    context.record_prepared_statement(read, plan.name)
    other = context.preparation(SessionContext(), write)
    assert other.prepared_statement == write
    assert other.name != plan.name
    context.record_prepared_statement(write, other.name)
    assert context.preparation(SessionContext(), read).is_empty
    assert context.name_of(read) == plan.name


def test_reset_needs_the_prepared_statement_again():
    """Guards against an unknown prepared statement after values were cleared."""
    context, prepared_statement = ConnectionContext(), PreparedStatement(False, "q1")
    context.record_prepared_statement(prepared_statement, "s1")
    context.record_value("a", "1")
    plan = context.preparation(SessionContext(), prepared_statement)
    assert plan.needs_reset
    assert plan.prepared_statement == prepared_statement


def test_nearer_connection_needs_fewer_steps():
    """Guards against a reset while a connection with the right values is idle."""
    session = SessionContext(values={"a": "1"})
    same, empty, foreign = ConnectionContext(), ConnectionContext(), ConnectionContext()
    same.record_value("a", "1")
    foreign.record_value("b", "2")
    assert same.distance(session) < empty.distance(session) < foreign.distance(session)

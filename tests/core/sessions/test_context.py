"""Tests of the context of connections that sessions share."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.sessions import ConnectionContext, SessionContext, Shape

_VALUES = st.dictionaries(st.sampled_from("abcd"), st.sampled_from("123"), max_size=4)


def _apply(context: ConnectionContext, target: dict[str, str], session: SessionContext) -> None:
    """Perform a preparation at a model of a target."""
    plan = context.preparation(session, None)
    if plan.needs_reset:
        target.clear()
        context.was_reset()
    for name, value in plan.values:
        target[name] = value
        context.value_set(name, value)


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
    read, write = Shape(False, "q1"), Shape(True, "q2")
    plan = context.preparation(SessionContext(), read)
    context.was_prepared(read, plan.name)
    other = context.preparation(SessionContext(), write)
    assert other.shape == write
    assert other.name != plan.name
    context.was_prepared(write, other.name)
    assert context.preparation(SessionContext(), read).is_empty
    assert context.name_of(read) == plan.name


def test_reset_needs_the_prepared_statement_again():
    """Guards against an unknown prepared statement after values were cleared."""
    context, shape = ConnectionContext(), Shape(False, "q1")
    context.was_prepared(shape, "s1")
    context.value_set("a", "1")
    plan = context.preparation(SessionContext(), shape)
    assert plan.needs_reset
    assert plan.shape == shape


def test_nearer_connection_needs_fewer_steps():
    """Guards against a reset while a connection with the right values is idle."""
    session = SessionContext(values={"a": "1"})
    same, empty, foreign = ConnectionContext(), ConnectionContext(), ConnectionContext()
    same.value_set("a", "1")
    foreign.value_set("b", "2")
    assert same.distance(session) < empty.distance(session) < foreign.distance(session)

"""Tests of session marks and tokens.

They guard against lost and forged marks: a session would miss its own writes, or wait for a
position that is never reached.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.core.entry import MAX_TOKEN_BYTES, SessionMarks, TokenCodec
from hibiscuspoint.errors import LimitError, TokenError
from hibiscuspoint.verdict import Verdict
from tests.builders import position

_OLD, _NEW = b"o" * 32, b"n" * 32
_POSITIONS = st.builds(position, st.integers(0, 2**28 - 1), st.integers(0, 2**56 - 1))
_MARKS = st.dictionaries(st.text(min_size=1, max_size=20), _POSITIONS, max_size=5)


@given(st.lists(st.tuples(st.sampled_from("ab"), _POSITIONS)))
def test_marks_keep_the_highest_position(advances):
    """A mark that goes back would let the session miss its own write."""
    marks = SessionMarks()
    for group, reached in advances:
        marks = marks.advance(group, reached)
    for group in marks:
        assert marks[group] == max(reached for name, reached in advances if name == group)


@given(_MARKS)
def test_token_survives_the_change_of_entry_and_key(marks):
    """An entry that already signs with the next key must read tokens of the previous one."""
    token = TokenCodec("e", [_OLD]).encode(SessionMarks(marks))
    assert TokenCodec("e", [_NEW, _OLD]).decode(token) == SessionMarks(marks)


@given(_MARKS.filter(bool), st.data())
def test_changed_token_is_rejected(marks, data):
    """A forged mark would make reads wait for a position that never comes, or skip a write."""
    codec = TokenCodec("e", [_OLD])
    token = bytearray(codec.encode(SessionMarks(marks)))
    token[data.draw(st.integers(0, len(token) - 1))] ^= data.draw(st.integers(1, 255))
    with pytest.raises(TokenError):
        codec.decode(bytes(token))


@pytest.mark.parametrize(("environment", "key"), [("f", _OLD), ("e", _NEW)])
def test_token_of_another_environment_or_key_is_rejected(environment, key):
    """Guards against marks from another environment, whose log positions are unrelated."""
    token = TokenCodec(environment, [key]).encode(SessionMarks({"a": position(1, 1)}))
    with pytest.raises(TokenError) as failure:
        TokenCodec("e", [_OLD]).decode(token)
    assert failure.value.verdict is Verdict.NOT_RUN


@given(st.integers(1, 60), _POSITIONS)
def test_admitted_group_always_fits(length, reached):
    """A token that does not fit after the write has run would lose read-your-writes."""
    codec, marks = TokenCodec("e", [_OLD]), SessionMarks()
    reached = max(reached, position(0, 1))
    groups = [f"{i:0{length}}" for i in range(40)]
    with pytest.raises(LimitError) as failure:
        for group in groups:
            codec.ensure_room(marks, group)
            marks = marks.advance(group, reached)
    assert failure.value.verdict is Verdict.NOT_RUN
    assert len(codec.encode(marks)) <= MAX_TOKEN_BYTES
    with pytest.raises(LimitError) as failure:
        codec.encode(SessionMarks({f"{i:060}": reached for i in range(9)}))
    assert failure.value.verdict is Verdict.MAY_HAVE_RUN

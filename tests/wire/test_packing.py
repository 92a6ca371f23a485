"""Tests of packed texts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscuspoint.wire import packing
from hibiscuspoint.wire.packing import PackedTextError, pack, unpack
from tests.builders_control import large_configuration


@given(st.text(), st.text())
def test_any_text_is_restored(text: str, base: str):
    """Guards against a document that changes on its way to an entry."""
    assert unpack(pack(text, base), base) == text


def test_a_change_of_a_large_text_is_small():
    """A configuration of 1,272 routes filled the link of the leader, 83 times 260 kB each time."""
    before = large_configuration(1272)
    after = before.replace('"timeout_ms": 1000', '"timeout_ms": 900', 1)
    assert len(pack(after)) < len(after) / 5
    assert len(pack(after, before)) < 1000


@pytest.mark.parametrize("base", ["", "another base"])
def test_another_base_is_refused(base: str):
    """Guards against a document in force that no operator sent."""
    before = large_configuration(50)
    with pytest.raises(PackedTextError):
        unpack(pack(before + "x", before), base)


@pytest.mark.parametrize("data", [b"", b"no zstd", pack("text" * 50)[:-3]])
def test_damaged_data_is_refused(data: bytes):
    """Guards against an exception that ends the stream to control."""
    with pytest.raises(PackedTextError):
        unpack(data)


def test_size_is_limited_before_the_text_is_restored(monkeypatch):
    """A small message must not make an instance use more memory than it may."""
    monkeypatch.setattr(packing, "MAX_TEXT_BYTES", 1000)
    with pytest.raises(PackedTextError, match="too large"):
        unpack(pack("x" * 1001))

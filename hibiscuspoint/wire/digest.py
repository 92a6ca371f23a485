"""Digest of result rows, which lets a receiver verify that a result is whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.wire import common_pb2

__all__ = ["digest_rows"]


def digest_rows(rows: Iterable[common_pb2.Row]) -> int:
    """Return the XXH64 of the concatenated serialized rows."""
    return xxhash.xxh64_intdigest(b"".join([row.SerializeToString() for row in rows]))

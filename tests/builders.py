"""Builders of test data."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import tomli_w
from hypothesis import strategies as st

from hibiscuspoint.core.position import LogPosition, TermHistory
from hibiscuspoint.document import Document
from hibiscuspoint.ids import Term

if TYPE_CHECKING:
    from hypothesis.strategies import SearchStrategy

__all__ = [
    "document",
    "environment",
    "node_settings",
    "position",
    "term_history",
    "toml_tables",
]


def position(term: int, index: int) -> LogPosition:
    """Return a log position."""
    return LogPosition(Term(term), index)


def term_history(*starts: tuple[int, int]) -> TermHistory:
    """Return a history from pairs of term and first index."""
    return TermHistory([(Term(term), start) for term, start in starts])


def node_settings(**changes: dict[str, Any]) -> dict[str, Any]:
    """Return valid data of a ``node.toml``; each argument changes keys of one section.

    :param changes: keys by section; ``None`` removes a key.
    """
    data: dict[str, Any] = {
        "node": {
            "instance": "ba-1",
            "availability_zone": "ba-petrzalka",
            "region": "sk-zapad",
            "environment": "trial",
            "roles": ["entry", "control"],
        },
        "listen": {"address": "127.0.0.1:7400", "http": "127.0.0.1:7401"},
        "control": {"members": {"ba-1": "127.0.0.1:7400"}, "data_directory": "data"},
        "session": {"keys": ["1f" * 32]},
        "tls": {"mode": "plain-text"},
    }
    for section, keys in changes.items():
        merged = {**data.get(section, {}), **keys}
        data[section] = {key: value for key, value in merged.items() if value is not None}
    return data


def toml_tables(sections: tuple[str, ...], valid: dict[str, Any]) -> SearchStrategy[dict]:
    """Return tables near a valid one: some keys are replaced by any TOML value."""
    scalars = (
        st.booleans()
        | st.integers()
        | st.floats()
        | st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
        | st.dates()
    )
    values = st.recursive(
        scalars,
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "members", "keys", "x"]), inner, max_size=3),
        max_leaves=6,
    )
    tables = [section for section in valid.values() if isinstance(section, dict)]
    known = sorted({key for table in tables for key in table})
    keys = st.sampled_from([*known, "other"])
    section_values = st.dictionaries(keys, values, max_size=2) | values
    changed = st.dictionaries(st.sampled_from([*sections, "other"]), section_values, max_size=3)
    return changed.map(lambda change: _merged(valid, change))


def _merged(valid: dict[str, Any], change: dict[str, Any]) -> dict[str, Any]:
    data = dict(valid)
    for section, value in change.items():
        old = data.get(section)
        both = isinstance(old, dict) and isinstance(value, dict)
        data[section] = {**old, **value} if both else value
    return data


def environment(**changes: Any) -> dict[str, Any]:
    """Return valid data of an environment document; arguments replace top-level keys."""
    data = {
        "environment": "trial",
        "number": 1,
        "group": [{"name": "ledger"}],
        "limits": {},
        "promotion": {},
    }
    return {**data, **changes}


def document(**changes: Any) -> Document:
    """Return a document; arguments replace top-level keys."""
    return Document.from_text(tomli_w.dumps(environment(**changes)))

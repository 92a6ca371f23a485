"""Builders of texts, statements and answers with the characters that a careless reader changes."""

from __future__ import annotations

from hypothesis import strategies as st

__all__ = ["FIELDS", "STATEMENTS", "TEXTS", "WORDS"]

_CHARACTERS = st.sampled_from("\r\n \0\t-a\x1c\x85\xa0é\u2028😀") | st.characters(codec="utf-8")
_ENDS = st.sampled_from(["", " ", "\r", "\n", "\r\r", "\n\r", "\t"])

#: Texts of a message: all but the end of a message.
TEXTS = (
    st.tuples(st.text(_CHARACTERS, max_size=12), _ENDS)
    .map("".join)
    .filter(lambda text: "\r\n" not in text)
)

#: Fields before the last one.
WORDS = TEXTS.map(lambda text: text.replace(" ", "")).filter(
    lambda text: text and "\r\n" not in text
)

#: Last fields with the blank before them: none, an empty one, and others.
FIELDS = st.just("") | TEXTS.map(lambda text: f" {text}")

#: Texts of statements without those of ``SET``, ``PREPARE`` and ``EXECUTE``.
STATEMENTS = st.sampled_from(["READ", "WRITE", "COMMIT", "ROLLBACK"]).flatmap(
    lambda verb: FIELDS.map(lambda field: verb + field)
)

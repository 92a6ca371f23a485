"""Builders of texts, statements and answers with the characters that a careless reader changes."""

from __future__ import annotations

from hypothesis import strategies as st

__all__ = ["FIELDS", "STATEMENTS", "TEXTS", "WORDS", "answers"]

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


@st.composite
def answers(draw: st.DrawFn) -> list[bytes]:
    """Return the messages of an answer of a database."""
    texts = [f"ROW{row}" for row in draw(st.lists(FIELDS, max_size=3))]
    word = draw(
        st.sampled_from(["COMPLETE", "ERROR", "ERROR BUSY", "ERROR READONLY", "ERROR OTHER"])
    )
    texts.append(word + draw(FIELDS))
    texts.append(draw(st.sampled_from(["READY I 3.7", "READY T -", "READY E 3.1207"])))
    return [f"{text}\r\n".encode() for text in texts]

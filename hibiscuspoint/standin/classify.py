"""Classification of SQL statements by their effect."""

from __future__ import annotations

import re
from enum import Enum
from functools import lru_cache

__all__ = ["StatementKind", "classify"]

_COMMENT_OR_LITERAL = re.compile(
    r"--[^\n]*|/\*.*?\*/|'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"", re.DOTALL
)
_WORD = re.compile(r"[A-Za-z_]+")
_READ_WORDS = frozenset({"SELECT", "VALUES", "EXPLAIN"})
# Transaction control comes from the flags of a run; the others bypass the log.
_FORBIDDEN_WORDS = frozenset(
    "BEGIN COMMIT END ROLLBACK SAVEPOINT RELEASE PRAGMA ATTACH DETACH VACUUM".split()
)
_WRITE_WORD = re.compile(r"\b(INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)


class StatementKind(Enum):
    """Effect of a statement."""

    READ = "read"
    WRITE = "write"
    FORBIDDEN = "forbidden"


@lru_cache(maxsize=4096)
def classify(sql: str) -> StatementKind:
    """Return the effect of a statement, judged by its keywords."""
    plain = _COMMENT_OR_LITERAL.sub(" ", sql)
    match = _WORD.search(plain)
    word = match.group().upper() if match else ""
    if word in _FORBIDDEN_WORDS:
        return StatementKind.FORBIDDEN
    if word in _READ_WORDS:
        return StatementKind.READ
    if word == "WITH" and not _WRITE_WORD.search(plain):
        return StatementKind.READ
    return StatementKind.WRITE

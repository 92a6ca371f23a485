"""Session marks and the token that carries them between entries."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.errors import ConfigurationError, LimitError, TokenError
from hibiscuspoint.ids import GroupId, Term
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire.session_pb2 import SessionContent

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ["MAX_TOKEN_BYTES", "SessionMarks", "TokenCodec"]

#: Greatest size of a token (design D5).
MAX_TOKEN_BYTES = 512

_VERSION = b"\x01"
# A token is the version, the key id, the HMAC-SHA256 and the encoded SessionContent.
_KEY_ID_BYTES = 4
_MAC_BYTES = 32
_MAC_END = 1 + _KEY_ID_BYTES + _MAC_BYTES
_MIN_KEY_BYTES = 16
_MAX_KEYS = 2

# Tag and length of the name, a term below 2**28 and an index below 2**56 as varints.
_MARK_OVERHEAD_BYTES = 2 + 4 + 8
# Tag and two-byte length of each of the two packed lists.
_LIST_OVERHEAD_BYTES = 6


class SessionMarks(Mapping[GroupId, LogPosition]):
    """Highest position that a session wrote or saw in each group; never modified.

    :param marks: positions by group.
    """

    __slots__ = ("_marks",)

    def __init__(self, marks: Mapping[GroupId, LogPosition] | None = None) -> None:
        self._marks = dict(marks or {})

    def __getitem__(self, group: GroupId) -> LogPosition:
        return self._marks[group]

    def __iter__(self) -> Iterator[GroupId]:
        return iter(self._marks)

    def __len__(self) -> int:
        return len(self._marks)

    def __repr__(self) -> str:
        return f"SessionMarks({self._marks!r})"

    def mark(self, group: GroupId) -> LogPosition:
        """Return the mark of a group, or the zero position when there is none."""
        return self._marks.get(group, ZERO_POSITION)

    def advance(self, group: GroupId, position: LogPosition) -> SessionMarks:
        """Return marks that keep the higher of the known and the given position."""
        if position <= self.mark(group):
            return self
        return SessionMarks({**self._marks, group: position})


class TokenCodec:
    """Signs session marks with HMAC-SHA256 and verifies them (design D5).

    Layout: version (1 byte), key id (4 bytes), signature (32 bytes), serialized marks. The
    signature also covers the environment, so a token of another environment is rejected.

    :param environment: name of the environment.
    :param keys: the first key signs; up to two keys verify, for rotation.
    :raises ConfigurationError: the number or the length of the keys is not valid.
    """

    def __init__(self, environment: str, keys: list[bytes]) -> None:
        if not 1 <= len(keys) <= _MAX_KEYS:
            raise ConfigurationError(f"{len(keys)} token keys are given; 1 or 2 are needed")
        if any(len(key) < _MIN_KEY_BYTES for key in keys):
            raise ConfigurationError(f"a token key is shorter than {_MIN_KEY_BYTES} bytes")
        name = environment.encode()
        context = len(name).to_bytes(4, "big") + name
        # The key of each id and the bytes that its signatures cover before the marks.
        self._keys = {_key_id(key): (key, context + _VERSION + _key_id(key)) for key in keys}
        self._signing_id = _key_id(keys[0])

    @classmethod
    def from_config(cls, environment: str, hex_keys: Sequence[str]) -> TokenCodec:
        """Return a codec from keys in hexadecimal.

        :raises ConfigurationError: a key is not hexadecimal, or a key is too short.
        """
        try:
            keys = [bytes.fromhex(key) for key in hex_keys]
        except ValueError:
            raise ConfigurationError("a token key is not hexadecimal") from None
        return cls(environment, keys)

    def ensure_room(self, marks: SessionMarks, group: GroupId) -> None:
        """Check, before a request is sent, that its mark will fit into the token.

        Every mark is counted at its greatest size, so that :meth:`encode` succeeds afterwards.

        :raises LimitError: the session uses too many groups; the request did not run.
        """
        size = _MAC_END + _LIST_OVERHEAD_BYTES
        for name in {*marks, group}:
            size += _MARK_OVERHEAD_BYTES + len(name.encode())
        if size > MAX_TOKEN_BYTES:
            raise _too_large(size, Verdict.NOT_RUN)

    def encode(self, marks: SessionMarks) -> bytes:
        """Return the token of the marks, at most 512 bytes.

        Marks that do not fit are an error: dropping the oldest would break read-your-writes
        without notice, and hashed group names could collide, which mixes positions of groups.

        :raises LimitError: the marks do not fit; the request may have run.
        """
        if not marks:
            return b""
        groups = sorted(marks)
        content = SessionContent(
            groups=groups,
            terms=[marks[group].term for group in groups],
            indexes=[marks[group].index for group in groups],
        ).SerializeToString()
        size = _MAC_END + len(content)
        if size > MAX_TOKEN_BYTES:
            raise _too_large(size, Verdict.MAY_HAVE_RUN)
        key, context = self._keys[self._signing_id]
        signature = hmac.digest(key, context + content, "sha256")
        return _VERSION + self._signing_id + signature + content

    def decode(self, token: bytes) -> SessionMarks:
        """Return the marks of a token; an empty token has none.

        :raises TokenError: the token is damaged, forged, too long or of another environment.
        """
        if not token:
            return SessionMarks()
        content = self._verified(token)
        try:
            message = SessionContent.FromString(content)
        except DecodeError:
            raise TokenError("the session token has no valid content") from None
        groups = message.groups
        if not len(groups) == len(message.terms) == len(message.indexes):
            raise TokenError("the session token has no valid content")
        marks = zip(groups, message.terms, message.indexes, strict=True)
        return SessionMarks(
            {GroupId(group): LogPosition(Term(term), index) for group, term, index in marks}
        )

    def _verified(self, token: bytes) -> bytes:
        if not _MAC_END < len(token) <= MAX_TOKEN_BYTES or token[:1] != _VERSION:
            raise TokenError("the session token is damaged")
        known = self._keys.get(token[1 : 1 + _KEY_ID_BYTES])
        if known is None:
            raise TokenError("the session token is signed with an unknown key")
        key, context = known
        content = token[_MAC_END:]
        expected = hmac.digest(key, context + content, "sha256")
        if not hmac.compare_digest(expected, token[1 + _KEY_ID_BYTES : _MAC_END]):
            raise TokenError("the signature of the session token is wrong")
        return content


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"hibiscuspoint token key id" + key).digest()[:_KEY_ID_BYTES]


def _too_large(size: int, verdict: Verdict) -> LimitError:
    return LimitError(
        f"the session uses too many groups: its token needs {size} bytes of {MAX_TOKEN_BYTES}",
        hint="Start a new session, or use fewer groups in one session.",
        verdict=verdict,
    )

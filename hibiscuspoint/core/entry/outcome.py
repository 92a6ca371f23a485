"""Outcome of a non-idempotent request, recorded to answer repeated requests (design D8)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from hibiscuspoint.errors import IdempotencyConflictError
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import common_pb2
from hibiscuspoint.wire.outcome_pb2 import OutcomeContent

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["MAX_OUTCOME_BYTES", "WITHOUT_ROWS_NOTE", "Outcome"]

#: Maximum size of a recorded outcome; a larger one is recorded without its rows.
MAX_OUTCOME_BYTES = 16 * 1024

#: Note in the reply to a repeated request whose recorded outcome has no rows.
WITHOUT_ROWS_NOTE = (
    f"The request ran before; its results were larger than {MAX_OUTCOME_BYTES} bytes, so their "
    "rows were not recorded."
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of a request that ran.

    :param results: one result set for each statement.
    :param without_rows: whether the rows and columns were too large to be recorded. The counts and
        digests still describe the complete results. A batch with so many statements that even these
        are too large is recorded without any result set.
    """

    results: tuple[common_pb2.ResultSet, ...]
    without_rows: bool = False

    @property
    def verdict(self) -> Verdict:
        """Verdict of a repeated request: it ran, whether or not its rows are recorded."""
        return Verdict.DONE

    @property
    def note(self) -> str:
        """Note for the caller of a repeated request; empty if the results are complete."""
        return WITHOUT_ROWS_NOTE if self.without_rows else ""

    @classmethod
    def from_results(cls, results: Sequence[common_pb2.ResultSet]) -> Outcome:
        """Return the outcome to record: complete, or without rows if it would be too large."""
        complete = cls(tuple(results))
        reduced = cls(tuple(_without_rows(result) for result in results), without_rows=True)
        for outcome in (complete, reduced):
            if outcome._to_message().ByteSize() <= MAX_OUTCOME_BYTES:
                return outcome
        return cls((), without_rows=True)

    @classmethod
    def decode(cls, encoded: bytes) -> Outcome:
        """Return the outcome from its recorded bytes.

        :raises IdempotencyConflictError: the bytes are damaged; the request may have run.
        """
        try:
            content = OutcomeContent.FromString(encoded)
        except DecodeError:
            raise IdempotencyConflictError(
                "the recorded outcome of the request id is damaged",
                hint="Check in the database whether the request took effect.",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from None
        return cls(tuple(content.results), content.without_rows)

    def encode(self) -> bytes:
        """Return the bytes to record, a serialized ``OutcomeContent``."""
        return self._to_message().SerializeToString()

    def _to_message(self) -> OutcomeContent:
        return OutcomeContent(results=self.results, without_rows=self.without_rows)


def _without_rows(result: common_pb2.ResultSet) -> common_pb2.ResultSet:
    return common_pb2.ResultSet(
        row_count=result.row_count,
        affected_rows=result.affected_rows,
        digest=result.digest,
    )

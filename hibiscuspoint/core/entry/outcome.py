"""Recorded outcome of a non-idempotent request (design D8)."""

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

#: Greatest size of a recorded outcome; larger ones are recorded without rows.
MAX_OUTCOME_BYTES = 16 * 1024

#: What a caller is told about a replay without rows.
WITHOUT_ROWS_NOTE = (
    f"The request ran before; its results were larger than {MAX_OUTCOME_BYTES} bytes, so their "
    "rows were not recorded."
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The results of a request that ran.

    :param without_rows: true when the rows and columns were too large to be recorded. The counts
        and digests still describe the complete results; a batch of so many statements that even
        these are too large is recorded with no result.
    """

    results: tuple[common_pb2.ResultSet, ...]
    without_rows: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return the verdict of a replay: the request ran, with or without recorded rows."""
        return Verdict.DONE

    @property
    def note(self) -> str:
        """Return what a replay tells its caller; empty when the results are complete."""
        return WITHOUT_ROWS_NOTE if self.without_rows else ""

    @classmethod
    def from_results(cls, results: Sequence[common_pb2.ResultSet]) -> Outcome:
        """Return the outcome to record: without rows when it would be too large."""
        complete = cls(tuple(results))
        counts = cls(tuple(_without_rows(result) for result in results), without_rows=True)
        for outcome in (complete, counts):
            if outcome._content().ByteSize() <= MAX_OUTCOME_BYTES:
                return outcome
        return cls((), without_rows=True)

    @classmethod
    def decode(cls, encoded: bytes) -> Outcome:
        """Return a recorded outcome.

        :raises IdempotencyConflictError: the record is damaged; the request may have run.
        """
        try:
            content = OutcomeContent.FromString(encoded)
        except DecodeError:
            raise IdempotencyConflictError(
                "the recorded outcome of the request id is damaged",
                hint="Check the outcome in the database.",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from None
        return cls(tuple(content.results), content.without_rows)

    def encode(self) -> bytes:
        """Return the bytes to record."""
        return self._content().SerializeToString()

    def _content(self) -> OutcomeContent:
        return OutcomeContent(results=self.results, without_rows=self.without_rows)


def _without_rows(result: common_pb2.ResultSet) -> common_pb2.ResultSet:
    return common_pb2.ResultSet(
        row_count=result.row_count,
        affected_rows=result.affected_rows,
        digest=result.digest,
    )

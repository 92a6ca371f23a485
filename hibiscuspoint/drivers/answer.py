"""Assembly and verification of the answer to a run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.wire import common_pb2
from hibiscuspoint.wire.digest import digest_rows
from hibiscuspoint.wire.position import position_from

if TYPE_CHECKING:
    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.wire import target_pb2

__all__ = ["AnswerError", "AnswerParts", "RunResult"]


class AnswerError(Exception):
    """An answer is incomplete, damaged or belongs to another request."""


@dataclass(slots=True)
class RunResult:
    """The whole answer to a run.

    :param results: one result for each statement.
    :param position: commit position of a write, observed position of a read.
    """

    results: list[common_pb2.ResultSet]
    position: LogPosition


class AnswerParts:
    """Collects the parts of an answer until its end arrives."""

    __slots__ = ("_rows", "_statement_count")

    def __init__(self, statement_count: int) -> None:
        self._statement_count = statement_count
        self._rows: dict[int, list[common_pb2.Row]] = {}

    def add(self, part: target_pb2.RowsPart) -> None:
        """Add rows of one statement."""
        self._rows.setdefault(part.statement_index, []).extend(part.rows)

    def finish(self, end: target_pb2.RunEnd) -> RunResult:
        """Return the verified answer.

        :raises AnswerError: rows are missing, unexpected or damaged.
        """
        if len(end.statements) != self._statement_count:
            raise AnswerError(
                f"the answer has {len(end.statements)} results for {self._statement_count}"
                " statements"
            )
        results = [self._result(index, e) for index, e in enumerate(end.statements)]
        if self._rows:
            raise AnswerError("the answer has rows of a statement that was not sent")
        position = position_from(end.position)
        return RunResult(results, position)

    def _result(self, index: int, end: target_pb2.StatementEnd) -> common_pb2.ResultSet:
        rows = self._rows.pop(index, [])
        if len(rows) != end.row_count:
            raise AnswerError(f"statement {index} has {len(rows)} of {end.row_count} rows")
        if digest_rows(rows) != end.digest:
            raise AnswerError(f"the rows of statement {index} do not match their digest")
        return common_pb2.ResultSet(
            columns=end.columns,
            rows=rows,
            row_count=end.row_count,
            affected_rows=end.affected_rows,
            digest=end.digest,
        )

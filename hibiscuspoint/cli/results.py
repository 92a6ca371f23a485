"""Results of statements as data and text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hibiscuspoint.core.entry import WITHOUT_ROWS_NOTE
from hibiscuspoint.util.text import format_table

if TYPE_CHECKING:
    from hibiscuspoint.wire import caller_pb2, common_pb2

__all__ = ["results_data", "results_text"]


def _plain(value: common_pb2.Value) -> Any:
    kind = value.WhichOneof("kind")
    if kind is None or kind == "null":
        return None
    plain = getattr(value, kind)
    return plain.hex() if isinstance(plain, bytes) else plain


def results_data(reply: caller_pb2.ExecuteReply, verdict: str) -> dict[str, Any]:
    """Return a reply as data; binary values are hexadecimal."""
    return {
        "verdict": verdict,
        "served_by": reply.served_by,
        "from_replica": reply.from_replica,
        "replayed": reply.replayed,
        "without_rows": reply.without_rows,
        "note": WITHOUT_ROWS_NOTE if reply.without_rows else "",
        "go_elsewhere": reply.go_elsewhere,
        "results": [
            {
                "columns": list(result.columns),
                "rows": [[_plain(value) for value in row.values] for row in result.rows],
                "affected_rows": result.affected_rows,
                "row_count": result.row_count,
            }
            for result in reply.results
        ],
    }


def results_text(reply: caller_pb2.ExecuteReply) -> str:
    """Return a reply as one table a statement."""
    parts = [_result_text(result) for result in reply.results]
    role = "replica" if reply.from_replica else "primary"
    source = f"served by {reply.served_by} ({role})"
    if reply.replayed:
        source += ", outcome of an earlier request with this id"
    if reply.without_rows:
        source += f"\n{WITHOUT_ROWS_NOTE}"
    return "\n\n".join([*parts, source])


def _result_text(result: common_pb2.ResultSet) -> str:
    if result.row_count > len(result.rows):
        return f"{result.row_count} rows, not recorded"
    if not result.columns:
        return f"{result.affected_rows} rows affected"
    rows = [["NULL" if _plain(value) is None else _plain(value) for value in row.values]
            for row in result.rows]  # fmt: skip
    return format_table(list(result.columns), rows)

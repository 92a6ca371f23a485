"""History of the operations of a run, as its callers saw them."""

from __future__ import annotations

import itertools
import time
from enum import Enum
from typing import TYPE_CHECKING, Literal, TypeAlias

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

__all__ = ["History", "Kind", "Operation", "Outcome", "Readout", "Recorder", "Version"]


class Kind(Enum):
    """What an operation does with the tables of the workload."""

    REGISTER_WRITE = "register-write"
    REGISTER_READ = "register-read"
    LEDGER_ADD = "ledger-add"
    LEDGER_READ = "ledger-read"
    PAIR_WRITE = "pair-write"
    PAIR_READ = "pair-read"

    @property
    def is_read(self) -> bool:
        """Tell whether the operation only reads."""
        return self in (Kind.REGISTER_READ, Kind.LEDGER_READ, Kind.PAIR_READ)


class Outcome(Enum):
    """What the caller knows about an operation."""

    #: Acknowledged.
    OK = "ok"
    #: Ran and failed as a whole; it has no effect.
    FAILED = "failed"
    NOT_RUN = "not-run"
    #: Unknown; also when the operation never completed.
    MAY_HAVE_RUN = "may-have-run"
    #: The answer was not whole, or belonged to another call.
    BROKEN_ANSWER = "broken-answer"

    @property
    def excludes_effect(self) -> bool:
        """Tell whether the operation must have no effect."""
        return self in (Outcome.FAILED, Outcome.NOT_RUN)


class _Record(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Version(_Record):
    """One version of a register or of one side of a pair, and the session that wrote it."""

    version: int
    session: str


class Operation(_Record):
    """One operation from its invocation to its completion.

    :param invoked_at: seconds of a monotonic clock; ``completed_at`` likewise, ``None`` if the
        operation never completed.
    :param key: register or pair; for the ledger, the request id of an addition or the session
        whose entries are read.
    :param written: version that a write writes.
    :param seen: versions that a read returned, one a row.
    :param seen_ids: request ids that a ledger read returned.
    :param max_age_ms: stated maximum age of a read; 0 accepts no stale data.
    """

    type: Literal["operation"] = "operation"
    op_id: int
    session: str
    entry: str
    group: str
    kind: Kind
    key: str
    invoked_at: float
    completed_at: float | None = None
    outcome: Outcome = Outcome.MAY_HAVE_RUN
    error_code: str = ""
    written: Version | None = None
    seen: tuple[Version, ...] = ()
    seen_ids: tuple[str, ...] = ()
    max_age_ms: int = 0
    interactive: bool = False
    served_by: str = ""
    from_replica: bool = False
    replayed: bool = False


class Readout(_Record):
    """Contents of the tables of one group after the run.

    :param ledger: number of rows of each request id.
    :param pairs: versions of all rows of each pair.
    """

    type: Literal["readout"] = "readout"
    group: str
    registers: dict[str, Version] = Field(default_factory=dict)
    ledger: dict[str, int] = Field(default_factory=dict)
    pairs: dict[str, tuple[Version, ...]] = Field(default_factory=dict)


_Line: TypeAlias = Operation | Readout
_LINES: TypeAdapter[_Line] = TypeAdapter(_Line)


class History(BaseModel):
    """All operations of a run and the final contents of the database."""

    operations: list[Operation] = Field(default_factory=list)
    readouts: list[Readout] = Field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the history as JSON lines."""
        with path.open("w", encoding="utf-8") as file:
            for record in itertools.chain(self.operations, self.readouts):
                file.write(record.model_dump_json() + "\n")

    @classmethod
    def read(cls, path: Path) -> History:
        """Read a history of JSON lines.

        :raises pydantic.ValidationError: a line is not a record of a history.
        """
        history = cls()
        with path.open(encoding="utf-8") as file:
            for line in file:
                record = _LINES.validate_json(line)
                if isinstance(record, Operation):
                    history.operations.append(record)
                else:
                    history.readouts.append(record)
        return history


class Recorder:
    """Collects operations while they run."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._open: dict[int, Operation] = {}
        self._closed: list[Operation] = []

    @property
    def completed(self) -> int:
        """Return the number of completed operations."""
        return len(self._closed)

    @property
    def operations(self) -> Sequence[Operation]:
        """Return the completed operations in the order of their completion."""
        return self._closed

    def invoke(self, **fields: object) -> Operation:
        """Record the invocation of an operation at the present time."""
        operation = Operation(op_id=next(self._ids), invoked_at=time.monotonic(), **fields)
        self._open[operation.op_id] = operation
        return operation

    def complete(self, operation: Operation, outcome: Outcome, **fields: object) -> Operation:
        """Record the completion of an operation at the present time."""
        del self._open[operation.op_id]
        completed = operation.model_copy(
            update={"completed_at": time.monotonic(), "outcome": outcome, **fields}
        )
        self._closed.append(completed)
        return completed

    def history(self) -> History:
        """Return all operations; those still open have no completion and an unknown outcome."""
        operations = sorted([*self._closed, *self._open.values()], key=lambda op: op.op_id)
        return History(operations=operations)

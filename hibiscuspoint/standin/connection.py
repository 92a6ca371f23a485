"""One database connection of a stand-in: an ``Open`` stream and its transaction."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.standin.classify import StatementKind, classify
from hibiscuspoint.standin.session import Session, StatementError
from hibiscuspoint.wire import target_pb2
from hibiscuspoint.wire.position import position_message

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from hibiscuspoint.core.position import LogPosition
    from hibiscuspoint.standin.engine import Engine
    from hibiscuspoint.standin.faults import Faults
    from hibiscuspoint.standin.streams import ReplyStream
    from hibiscuspoint.wire import common_pb2

__all__ = ["ServerConnection", "Workplace"]

logger = logging.getLogger(__name__)

#: Limits of one part of an answer; larger results are sent in several parts.
MAX_PART_ROWS = 256
MAX_PART_BYTES = 64 * 1024

Failure = target_pb2.Failure


class _RunError(Exception):
    def __init__(self, kind: Failure.Kind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


@dataclass
class Workplace:
    """What all connections of a target share."""

    engine: Engine
    faults: Faults
    slots: asyncio.Semaphore
    write_lock: asyncio.Lock


@dataclass
class _Result:
    ends: list[target_pb2.StatementEnd]
    rows: list[list[common_pb2.Row]]
    position: LogPosition


class ServerConnection:
    """Runs the statements of one connection, one run at a time."""

    def __init__(
        self,
        workplace: Workplace,
        hello: target_pb2.Hello,
        stream: ReplyStream[target_pb2.ConnectionReply],
    ) -> None:
        self._engine = workplace.engine
        self._faults = workplace.faults
        self._slots = workplace.slots
        self._write_lock = workplace.write_lock
        self._hello = hello
        self._stream = stream
        self._holds_write_lock = False
        self._is_terminated = False
        self._session = Session(workplace.engine, self._release_write_lock)
        self._run_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = asyncio.get_running_loop().create_future()

    @property
    def is_terminated(self) -> bool:
        """Tell whether the target rather than the client ended the connection."""
        return self._is_terminated

    def is_meant_by(self, request: target_pb2.TerminateRequest) -> bool:
        """Tell whether this connection is to be closed."""
        hello = self._hello
        if hello.instance != request.instance:
            return False
        if request.connection_incarnation:
            return hello.connection_incarnation == request.connection_incarnation
        limit = request.up_to_incarnation
        return not limit or hello.instance_incarnation <= limit

    def terminate(self) -> None:
        """Close the connection on behalf of the target."""
        self._is_terminated = True
        self.close()

    def close(self) -> None:
        """Roll back and end the stream."""
        if self._closed.done():
            return
        self._closed.set_result(None)
        for task in self._tasks:
            task.cancel()
        self._session.close()

    async def serve(self, requests: AsyncIterator[target_pb2.ConnectionRequest]) -> None:
        """Answer requests until the client or :meth:`terminate` ends the connection."""
        reader = asyncio.create_task(self._read(requests))
        try:
            await asyncio.wait({reader, self._closed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            reader.cancel()
            self.close()
        await asyncio.gather(reader, *self._tasks, return_exceptions=True)

    async def _read(self, requests: AsyncIterator[target_pb2.ConnectionRequest]) -> None:
        async for request in requests:
            if self._stream.is_silent:
                continue
            kind = request.WhichOneof("body")
            if kind == "run":
                self._start(self._answer_run(request))
            elif kind == "ping":
                pong = self._reply(request.request_id, pong=target_pb2.Pong())
                self._start(self._stream.answer(pong))

    def _start(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply(self, request_id: int, **body: object) -> target_pb2.ConnectionReply:
        return target_pb2.ConnectionReply(
            request_id=request_id,
            connection_incarnation=self._hello.connection_incarnation,
            **body,
        )

    async def _answer_run(self, request: target_pb2.ConnectionRequest) -> None:
        async with self._run_lock:
            if self._faults.is_frozen:
                await self._faults.wait_until_thawed()
            replies = await self._run(request.request_id, request.run)
            await self._stream.answer(*replies)

    async def _run(self, request_id: int, run: target_pb2.Run) -> list[target_pb2.ConnectionReply]:
        self._session.start_run()
        try:
            result = await self._execute(run)
        except _RunError as error:
            return [self._fail(request_id, error.kind, str(error))]
        except StatementError as error:
            kind = Failure.UNIQUE if error.is_unique_violation else Failure.SQL
            return [self._fail(request_id, kind, str(error))]
        return [
            *self._row_parts(request_id, result.rows),
            self._reply(
                request_id,
                end=target_pb2.RunEnd(
                    statements=result.ends, position=position_message(result.position)
                ),
            ),
        ]

    def _fail(
        self, request_id: int, kind: Failure.Kind, message: str
    ) -> target_pb2.ConnectionReply:
        not_run = self._session.executed == 0
        self._session.rollback()
        self._release_write_lock()
        failure = Failure(kind=kind, message=message, not_run=not_run)
        return self._reply(request_id, failure=failure)

    async def _execute(self, run: target_pb2.Run) -> _Result:
        session = self._session
        if run.rollback and not run.begin and not run.statements:
            position = session.observed_position()
            session.rollback()
            return _Result([], [], position)
        self._check_step(run)
        is_explicit = run.begin or session.in_transaction
        if not session.in_transaction:
            await self._begin(run)
        ends, rows = [], []
        for statement in run.statements:
            end, statement_rows = await self._execute_one(run, statement)
            ends.append(end)
            rows.append(statement_rows)
        self._check_term(run)
        return _Result(ends, rows, self._finish(run, is_explicit=is_explicit))

    def _finish(self, run: target_pb2.Run, *, is_explicit: bool) -> LogPosition:
        position = self._session.observed_position()
        if run.rollback:
            self._session.rollback()
        elif run.commit or not is_explicit:
            position = self._session.commit()
        return position

    def _check_step(self, run: target_pb2.Run) -> None:
        if self._session.was_aborted:
            self._check_term(run)
        if run.begin and self._session.in_transaction:
            raise _RunError(Failure.SQL, "a transaction is open already")
        if run.commit and run.rollback:
            raise _RunError(Failure.SQL, "a run cannot both commit and roll back")
        if run.commit and not run.begin and not self._session.in_transaction:
            raise _RunError(Failure.SQL, "no transaction is open")

    async def _begin(self, run: target_pb2.Run) -> None:
        if self._faults.refuses_new_work:
            logger.warning("run refused: the target is leaving")
            raise _RunError(Failure.LEAVING, "the target is leaving")
        is_write = not run.read_only and (run.begin or self._has_writes(run))
        self._check_role(run, is_write=is_write)
        if is_write:
            await self._write_lock.acquire()
            self._holds_write_lock = True
            self._check_role(run, is_write=True)
        self._session.begin(read_only=not is_write)

    @staticmethod
    def _has_writes(run: target_pb2.Run) -> bool:
        return any(classify(s.sql) is not StatementKind.READ for s in run.statements)

    async def _execute_one(
        self, run: target_pb2.Run, statement: common_pb2.Statement
    ) -> tuple[target_pb2.StatementEnd, list[common_pb2.Row]]:
        async with self._slots:
            if self._faults.service_time:
                await asyncio.sleep(self._faults.service_time)
            if self._faults.is_frozen:
                await self._faults.wait_until_thawed()
            self._check_term(run)
            return self._session.execute(statement)

    def _check_role(self, run: target_pb2.Run, *, is_write: bool) -> None:
        self._check_term(run)
        if not self._engine.is_primary and (is_write or not run.read_only):
            raise _RunError(Failure.NOT_PRIMARY, "the target is not primary")

    def _check_term(self, run: target_pb2.Run) -> None:
        engine = self._engine
        if self._session.was_aborted:
            raise _RunError(Failure.WRONG_TERM, "the term of the transaction has ended")
        if run.term and run.term < engine.sealed_term:
            raise _RunError(Failure.WRONG_TERM, f"the target is sealed at {engine.sealed_term}")
        # Only a log whose last record is of the run's term is known to match the primary's log.
        if run.term and run.term != engine.received.term:
            raise _RunError(
                Failure.WRONG_TERM, f"the log of the target is in term {engine.received.term}"
            )

    def _release_write_lock(self) -> None:
        if self._holds_write_lock:
            self._holds_write_lock = False
            self._write_lock.release()

    def _row_parts(
        self, request_id: int, rows_by_statement: list[list[common_pb2.Row]]
    ) -> Iterator[target_pb2.ConnectionReply]:
        for index, rows in enumerate(rows_by_statement):
            for part in _split(rows):
                yield self._reply(
                    request_id, rows=target_pb2.RowsPart(statement_index=index, rows=part)
                )


def _split(rows: list[common_pb2.Row]) -> Iterator[list[common_pb2.Row]]:
    part: list[common_pb2.Row] = []
    size = 0
    for row in rows:
        part.append(row)
        size += row.ByteSize()
        if len(part) == MAX_PART_ROWS or size >= MAX_PART_BYTES:
            yield part
            part, size = [], 0
    if part:
        yield part

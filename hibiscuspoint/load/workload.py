"""Operations whose results a history checker can judge."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Idempotency
from hibiscuspoint.load.errors import IncompleteAnswerError
from hibiscuspoint.load.history import Kind, Outcome, Readout, Version
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.ids import GroupId, RequestId
    from hibiscuspoint.load.answers import Answer
    from hibiscuspoint.load.caller import Session
    from hibiscuspoint.load.history import Operation, Recorder
    from hibiscuspoint.load.tables import Tables

__all__ = ["NamedSession", "Workload", "outcome_of"]

#: Interval between the attempts of a final read-out in seconds.
RETRY_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class NamedSession:
    """A session with the name under which the history lists it."""

    name: str
    session: Session


def outcome_of(error: HibiscusError) -> Outcome:
    """Return what a caller knows about an operation that failed."""
    if isinstance(error, IncompleteAnswerError):
        return Outcome.BROKEN_ANSWER
    if error.verdict is Verdict.NOT_RUN:
        return Outcome.NOT_RUN
    if error.verdict is Verdict.DONE or error.rolled_back:
        return Outcome.FAILED
    return Outcome.MAY_HAVE_RUN


class Workload:
    """Operations on the tables of one group.

    :param tables: statements on the tables of the run.
    :param timeout: seconds for each operation.
    """

    def __init__(
        self, recorder: Recorder, group: GroupId, tables: Tables, timeout: float = 5.0
    ) -> None:
        self._recorder = recorder
        self._group = group
        self._tables = tables
        self._timeout = timeout
        self._versions: dict[tuple[str, str], int] = defaultdict(int)

    @property
    def group(self) -> GroupId:
        """Return the group of the tables."""
        return self._group

    async def prepare(self, session: Session, timeout: float = 30.0) -> None:
        """Create the tables.

        :raises HibiscusError: the tables could not be created within ``timeout`` seconds.
        """
        for create in self._tables.create():
            await _repeat(
                lambda create=create: session.write(
                    self._group, statement(create), timeout=self._timeout
                ),
                timeout,
            )

    async def register_write(self, actor: NamedSession, key: str) -> Operation:
        """Write the next version of a register."""
        version = self._next_version("register", key)
        operation = self._invoke(actor, Kind.REGISTER_WRITE, key, written=(version, actor.name))
        write = self._tables.write_register(key, version, actor.name)
        return await self._complete(operation, self._write(actor, write))

    async def register_read(self, actor: NamedSession, key: str, max_age_ms: int = 0) -> Operation:
        """Read a register."""
        operation = self._invoke(actor, Kind.REGISTER_READ, key, max_age_ms=max_age_ms)
        read = self._tables.read_register(key)
        return await self._complete(operation, self._read(actor, max_age_ms, read), _versions)

    async def ledger_add(
        self, actor: NamedSession, request_id: RequestId, idempotency: Idempotency | None = None
    ) -> Operation:
        """Add one row to the ledger; without idempotency it must be sent only once."""
        operation = self._invoke(actor, Kind.LEDGER_ADD, request_id)
        add = self._tables.add_ledger(request_id, actor.name)
        return await self._complete(operation, self._write(actor, add, idempotency=idempotency))

    async def ledger_add_once(self, actor: NamedSession, request_id: RequestId) -> Operation:
        """Add one row with a request id; repeat it while its outcome is unknown."""
        idempotency = Idempotency.issue(request_id)
        deadline = time.monotonic() + self._timeout
        operation = await self.ledger_add(actor, request_id, idempotency)
        while operation.outcome is Outcome.MAY_HAVE_RUN and time.monotonic() < deadline:
            await asyncio.sleep(RETRY_INTERVAL_S)
            operation = await self.ledger_add(actor, request_id, idempotency)
        return operation

    async def ledger_read(self, actor: NamedSession, max_age_ms: int = 0) -> Operation:
        """Read all ledger rows of the session."""
        operation = self._invoke(actor, Kind.LEDGER_READ, actor.name, max_age_ms=max_age_ms)
        read = self._tables.read_ledger(actor.name)
        return await self._complete(operation, self._read(actor, max_age_ms, read), _request_ids)

    async def pair_write(
        self, actor: NamedSession, key: str, *, interactive: bool = False
    ) -> Operation:
        """Write both rows of a pair in one transaction."""
        version = self._next_version("pair", key)
        operation = self._invoke(
            actor, Kind.PAIR_WRITE, key, written=(version, actor.name), interactive=interactive
        )
        writes = self._tables.write_pair(key, version, actor.name)
        if interactive:
            return await self._complete(operation, self._transact(actor, writes))
        return await self._complete(operation, self._write(actor, *writes))

    async def pair_read(self, actor: NamedSession, key: str, max_age_ms: int = 0) -> Operation:
        """Read both rows of a pair."""
        operation = self._invoke(actor, Kind.PAIR_READ, key, max_age_ms=max_age_ms)
        read = self._tables.read_pair(key)
        return await self._complete(operation, self._read(actor, max_age_ms, read), _versions)

    async def readout(self, session: Session, timeout: float = 30.0) -> Readout:
        """Read the whole contents of the tables, with reads that accept no stale data.

        :raises HibiscusError: the contents could not be read within ``timeout`` seconds.
        """
        reads = (
            self._tables.all_registers(),
            self._tables.count_ledger(),
            self._tables.all_pairs(),
        )
        answers = [
            await _repeat(
                lambda read=read: session.read(self._group, read, timeout=self._timeout), timeout
            )
            for read in reads
        ]
        registers, ledger, pairs = (answer.rows for answer in answers)
        sides: dict[str, list[Version]] = defaultdict(list)
        for key, version, writer in pairs:
            sides[key].append(Version(version=version, session=writer))
        return Readout(
            group=self._group,
            registers={key: Version(version=v, session=writer) for key, v, writer in registers},
            ledger=dict(ledger),
            pairs={key: tuple(versions) for key, versions in sides.items()},
        )

    def _next_version(self, table: str, key: str) -> int:
        self._versions[table, key] += 1
        return self._versions[table, key]

    def _invoke(
        self,
        actor: NamedSession,
        kind: Kind,
        key: str,
        *,
        written: tuple[int, str] | None = None,
        **fields: object,
    ) -> Operation:
        version = None if written is None else Version(version=written[0], session=written[1])
        return self._recorder.invoke(
            session=actor.name,
            entry=actor.session.entry,
            group=self._group,
            kind=kind,
            key=key,
            written=version,
            **fields,
        )

    async def _complete(
        self,
        operation: Operation,
        call: Awaitable[Answer],
        decode: Callable[[Answer], dict[str, object]] | None = None,
    ) -> Operation:
        try:
            answer = await call
        except HibiscusError as error:
            return self._recorder.complete(operation, outcome_of(error), error_code=error.code)
        fields = {} if decode is None else decode(answer)
        return self._recorder.complete(
            operation,
            Outcome.OK,
            entry=answer.entry,
            served_by=answer.served_by,
            from_replica=answer.from_replica,
            replayed=answer.replayed,
            **fields,
        )

    def _read(self, actor: NamedSession, max_age_ms: int, read: object) -> Awaitable[Answer]:
        return actor.session.read(self._group, read, max_age_ms=max_age_ms, timeout=self._timeout)

    def _write(
        self, actor: NamedSession, *writes: object, idempotency: Idempotency | None = None
    ) -> Awaitable[Answer]:
        return actor.session.write(
            self._group, *writes, idempotency=idempotency, timeout=self._timeout
        )

    async def _transact(self, actor: NamedSession, writes: tuple[object, object]) -> Answer:
        first, second = writes
        transaction = await actor.session.transact(self._group, first, timeout=self._timeout)
        async with transaction:
            await transaction.run(second)
            return await transaction.commit()


def _versions(answer: Answer) -> dict[str, object]:
    return {"seen": tuple(Version(version=row[0], session=row[1]) for row in answer.rows)}


def _request_ids(answer: Answer) -> dict[str, object]:
    return {"seen_ids": tuple(row[0] for row in answer.rows)}


async def _repeat(call: Callable[[], Awaitable[Answer]], timeout: float) -> Answer:
    """Repeat an idempotent call until it succeeds or its time ends."""
    deadline = time.monotonic() + timeout
    while True:
        try:
            return await call()
        except HibiscusError as error:
            if time.monotonic() >= deadline or error.verdict is Verdict.DONE:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)

"""Callers of a run, which check what they are told."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.platform.deployment import DATABASE, OTHER_DATABASE, OTHER_SERVICE, SERVICE, Client
from tests.platform.standin_connection import Run, without_name
from tests.soak.history import PLAIN_TEXTS, PROMISES

if TYPE_CHECKING:
    import random

    from tests.platform.deployment import Deployment
    from tests.soak.history import History

__all__ = ["Caller"]

#: Longest time in seconds to wait for an answer before the connection is given up.
ANSWER_SECONDS = 6.0

#: Shares of the operations; all others read.
WRITES = 0.25
EMPTY_WRITES = 0.05
TRANSACTIONS = 0.2
CHANGES = 0.1

#: Share of the transactions that are rolled back, and of the operations that end their session.
ROLLBACKS = 0.1
ENDS = 0.02

#: Ends of texts whose last field is missing or empty, and one for callers without odd texts.
EMPTY_ENDS = ("", " ")
PLAIN_ENDS = (" -",)


class _Session:
    """A session that records what it sends under which values and shape."""

    def __init__(self, client: Client, history: History) -> None:
        self._client = client
        self._history = history
        self._values: dict[str, str] = {}
        self._state = "I"
        self.shapes: dict[str, str] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no transaction is open."""
        return self._state == "I"

    @property
    def last_id(self) -> str:
        """Return the id of the last statement."""
        return self._client.last_id

    async def run(self, text: str) -> list[str]:
        """Run a statement and check that its answer is its own."""
        shape = self.shapes.get(text.split(" ")[1], "") if text.startswith("EXECUTE ") else ""
        values, is_in_transaction = dict(self._values), self._state == "T"
        try:
            answer = await self._client.run(text)
        finally:
            sent = Run(self.last_id, without_name(text), values, shape, is_in_transaction)
            self._history.sent(sent)
        self._history.answered(sent, answer)
        self._state = answer[-1].split(" ")[1]
        return answer

    async def set_value(self, name: str, end: str) -> None:
        """Set a value; ``end`` is what follows the name."""
        await self._change(f"SET {name}{end}")
        self._values[name] = end

    async def prepare(self, name: str, shape: str) -> None:
        """Prepare a statement of a mode and shape."""
        await self._change(f"PREPARE {name} {shape}")
        self.shapes[name] = shape

    async def _change(self, text: str) -> None:
        if (await self.run(text))[-2] != "COMPLETE -":
            raise ConnectionError("the values of the session are not known")

    def close(self) -> None:
        """End the session."""
        self._client.close()


class Caller:
    """Writes increasing numbers to an item of its own and reads items of all."""

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        source: random.Random,
        service: str,
        item: str,
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._source = source
        self._service = service
        self._routes = [DATABASE, "strict"] if service == SERVICE else [OTHER_DATABASE]
        self._item = item
        self._number = 0
        self._ends = PLAIN_ENDS if history.texts is PLAIN_TEXTS else EMPTY_ENDS
        #: Highest number that the present session wrote.
        self._written = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Open sessions through any instance and use each until it breaks."""
        while not stop.is_set():
            instance = self._source.randrange(self._deployment.instances)
            route = self._source.choice(self._routes)
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    client = await Client.open(self._deployment.callers_address(instance), route)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            session = _Session(client, self._history)
            self._written = 0
            with suppress(OSError, TimeoutError):
                while not stop.is_set() and session.is_idle and self._source.random() >= ENDS:
                    await self._operation(session, route)
            session.close()

    async def _operation(self, session: _Session, route: str) -> None:
        kind = self._source.random()
        async with asyncio.timeout(ANSWER_SECONDS):
            if kind < WRITES:
                await self._write(session)
            elif kind < WRITES + EMPTY_WRITES:
                await self._write_empty(session)
            elif kind < WRITES + EMPTY_WRITES + TRANSACTIONS:
                await self._transact(session)
            elif kind < WRITES + EMPTY_WRITES + TRANSACTIONS + CHANGES:
                await self._change(session)
            else:
                await self._read(session, route)
        await asyncio.sleep(self._source.uniform(0.0, 0.02))

    def _text(self, session: _Session, verb: str, rest: str) -> str:
        """Return a statement, or the execution of a prepared one that does the same."""
        name = verb[0].lower()
        is_prepared = name in session.shapes and self._source.random() < 0.5
        return f"EXECUTE {name} {rest}" if is_prepared else f"{verb} {rest}"

    async def _send_next(self, session: _Session) -> list[str]:
        self._number += 1
        data = self._history.data(self._number)
        return await session.run(self._text(session, "WRITE", f"{self._item} {data}"))

    async def _write(self, session: _Session) -> None:
        answer = await self._send_next(session)
        self._judge(answer, [session.last_id], self._number)

    async def _write_empty(self, session: _Session) -> None:
        end = self._source.choice(self._ends)
        answer = await session.run(self._text(session, "WRITE", f"{self._item}-empty{end}"))
        self._judge(answer, [session.last_id], number=0)

    async def _transact(self, session: _Session) -> None:
        ids: list[str] = []
        is_committed = False
        try:
            answer = await session.run("BEGIN")
            for _ in range(self._source.randint(0, 3)):
                if not answer[-2].startswith("ERROR"):
                    answer = await self._send_next(session)
                    ids.append(session.last_id)
                    await asyncio.sleep(self._source.uniform(0.0, 0.03))
            if not answer[-2].startswith("ERROR"):
                at_least = self._number if ids else self._history.acknowledged[self._item]
                answer = await self._read_item(session, self._item, at_least, "transaction")
            if answer[-2].startswith("ERROR") or self._source.random() < ROLLBACKS:
                await session.run("ROLLBACK")
                return
            is_committed = True
            self._judge(await session.run("COMMIT"), ids, self._number if ids else 0)
        finally:
            if not is_committed:
                self._history.refused([*ids, session.last_id])

    def _judge(self, answer: list[str], ids: list[str], number: int) -> None:
        if answer[-2].startswith("COMPLETE"):
            self._written = max(self._written, number)
            self._history.wrote(self._service, self._item, number, ids)
        elif answer[-2].split()[1] in PROMISES:
            self._history.refused(ids)

    async def _change(self, session: _Session) -> None:
        """Set a value, or prepare a statement under a name that all callers use."""
        text = " " + self._history.data(self._source.randrange(100))
        kind = self._source.randrange(3)
        if kind == 0:
            await session.set_value(
                self._source.choice("uv"), self._source.choice((text, *self._ends))
            )
        else:
            await session.prepare(*(("r", f"READ q{text}"), ("w", f"WRITE q{text}"))[kind - 1])

    def _is_own(self, item: str) -> bool:
        """Tell whether an item belongs to the service of this caller."""
        return int(item.removeprefix("item")) % 2 == int(self._service == OTHER_SERVICE)

    async def _read(self, session: _Session, route: str) -> None:
        is_strict = route != DATABASE
        items = [item for item in self._history.acknowledged if self._is_own(item)]
        item = self._source.choice(items) if items and is_strict else self._item
        # Of other sessions, a read with a stated age need not see the latest writes.
        at_least = self._history.acknowledged[item] if is_strict else self._written
        await self._read_item(session, item, at_least, route)

    async def _read_item(
        self, session: _Session, item: str, at_least: int, route: str
    ) -> list[str]:
        answer = await session.run(self._text(session, "READ", item))
        if answer[0].startswith("ROW "):
            self._history.read(item, answer[0].removeprefix("ROW "), at_least, route)
        return answer

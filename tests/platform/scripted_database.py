"""A database on a loopback port whose answers, and their repetitions, a test determines."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    #: Returns the answer to a request id and text, and the seconds until each repetition of it.
    Script = Callable[[str, str], tuple[str, Sequence[float]]]

__all__ = ["ScriptedDatabase", "signed", "unsigned"]

GREETING = "READY I 1.1\r\n"


def signed(request: str, state: str = "I") -> str:
    """Return a success whose row and signature name the request."""
    return f"ROW row-{request}\r\nCOMPLETE sig-{request}\r\nREADY {state} 1.1\r\n"


def unsigned(state: str = "I", position: str = "1.1") -> str:
    """Return a success without a signature."""
    return f"COMPLETE -\r\nREADY {state} {position}\r\n"


class ScriptedDatabase:
    """Records what it ran and answers as the script says.

    The script gets the text of a statement without a required position that an answer has shown.

    :param greeting_repeats: seconds until each repetition of the answer to the startup.
    :param work_seconds: time that each statement takes.
    """

    def __init__(
        self, script: Script, greeting_repeats: Sequence[float] = (), work_seconds: float = 0.0
    ) -> None:
        self._script = script
        self._work_seconds = work_seconds
        self._greeting_repeats = greeting_repeats
        self._tasks: set[asyncio.Task] = set()
        self._position = _position(GREETING)
        self.address = ""
        self.texts: list[str] = []
        self.connections = 0

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[ScriptedDatabase]:
        """Listen while the context is open."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        async with server:
            yield self
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                message = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = message.partition(" ")
                answer, repeats = GREETING, self._greeting_repeats
                if word != "STARTUP":
                    request, _, text = rest.partition(" ")
                    text = self._without_held_position(text)
                    self.texts.append(text)
                    await asyncio.sleep(self._work_seconds)
                    answer, repeats = self._script(request, text)
                    self._position = max(self._position, _position(answer))
                writer.write(answer.encode())
                for seconds in repeats:
                    task = asyncio.create_task(_write_later(writer, answer, seconds))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    def _without_held_position(self, text: str) -> str:
        if not text.startswith("AFTERLSN "):
            return text
        _, position, statement = text.split(" ", 2)
        is_held = tuple(map(int, position.split("."))) <= self._position
        return statement if is_held else text


def _position(answer: str) -> tuple[int, ...]:
    """Return the position of the log that an answer ends with; the least one if it has none."""
    word = answer.rstrip("\r\n").rpartition(" ")[2]
    return tuple(map(int, word.split("."))) if re.fullmatch(r"\d+\.\d+", word) else (0, 0)


async def _write_later(writer: asyncio.StreamWriter, answer: str, seconds: float) -> None:
    await asyncio.sleep(seconds)
    if not writer.is_closing():
        writer.write(answer.encode())

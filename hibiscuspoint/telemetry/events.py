"""Numbered log events and the set-up of logging."""

from __future__ import annotations

import logging
import string
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["EVENTS", "Event", "define_event", "log_event", "setup_logging"]

#: Fields that could carry statement text, parameters or tokens; no event may have them.
FORBIDDEN_FIELDS = frozenset({"sql", "statement", "statements", "parameters", "token", "rows"})
#: Attributes of a log record that a field must not replace.
_RECORD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}

#: Events by number, in the order of their definition.
EVENTS: dict[int, Event] = {}


@dataclass(frozen=True)
class Event:
    """One kind of log line; the number and name stay the same in later versions."""

    number: int
    name: str
    level: int
    message: str
    fields: tuple[str, ...]


def define_event(number: int, name: str, level: int, message: str, *fields: str) -> Event:
    """Define an event.

    :param level: level of the ``logging`` module.
    :param message: one sentence with ``{field}`` places.
    :raises ValueError: the number or name is taken, or a field is not allowed or not declared.
    """
    if number in EVENTS or any(event.name == name for event in EVENTS.values()):
        raise ValueError(f"event {number} {name!r} is defined twice")
    refused = (FORBIDDEN_FIELDS | _RECORD_ATTRIBUTES | {"number", "event"}) & set(fields)
    if refused:
        raise ValueError(f"event {number} has fields that are not allowed: {sorted(refused)}")
    places = {place for _, place, _, _ in string.Formatter().parse(message) if place}
    if not places <= set(fields):
        raise ValueError(f"event {number} prints undeclared fields: {sorted(places - set(fields))}")
    event = Event(number, name, level, message, fields)
    EVENTS[number] = event
    return event


def log_event(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Write an event.

    :raises ValueError: the fields are not exactly those of the event.
    """
    if fields.keys() != set(event.fields):
        raise ValueError(
            f"event {event.number} {event.name!r} has the fields {sorted(event.fields)}, "
            f"not {sorted(fields)}"
        )
    if not logger.isEnabledFor(event.level):
        return
    extra = {"number": event.number, "event": event.name, **fields}
    logger.log(event.level, event.message.format(**fields), extra=extra, stacklevel=2)


def setup_logging(
    level: str, file: Path | None, instance: str, *, handler: logging.Handler | None = None
) -> None:
    """Write the root logger's records as JSON lines.

    :param level: lowest level: ``debug``, ``info``, ``warning`` or ``error``.
    :param file: file to append to; standard error when ``None``.
    :param instance: value of the ``instance`` field of every line.
    :param handler: takes the lines instead of a file.
    :raises OSError: the file cannot be opened.
    """
    if handler is None:
        handler = logging.StreamHandler(sys.stderr) if file is None else logging.FileHandler(file)
    handler.setFormatter(
        JsonFormatter(
            ["levelname", "name", "message"],
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"instance": instance},
            timestamp="time",
        )
    )
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
        old.close()
    root.addHandler(handler)
    root.setLevel(level.upper())

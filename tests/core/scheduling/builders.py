"""Request classes for tests of the order of waiting statements."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PROGRESS", "RANKING", "VERDICTS", "RequestClass"]


@dataclass(frozen=True)
class RequestClass:
    """A class of requests with times in seconds."""

    priority: int
    service: float
    objective: float
    timeout: float


VERDICTS = RequestClass(0, 0.0045, 0.15, 0.8)
PROGRESS = RequestClass(1, 0.014, 0.25, 0.8)
RANKING = RequestClass(2, 0.022, 0.8, 1.5)

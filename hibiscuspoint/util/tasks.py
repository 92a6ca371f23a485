"""Background tasks whose failures are not lost."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ["run_until_first", "spawn"]

logger = logging.getLogger(__name__)


def spawn(work: Coroutine, name: str) -> asyncio.Task:
    """Start a task that logs the error that ends it.

    :param name: what the task does, for the log.
    """
    task = asyncio.ensure_future(work)
    task.set_name(name)
    task.add_done_callback(_report)
    return task


async def run_until_first(*works: Coroutine) -> None:
    """Run coroutines together until one ends, then cancel the others.

    :raises Exception: whatever the coroutine raised that ended first.
    """
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _report(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("task %s failed", task.get_name(), exc_info=task.exception())

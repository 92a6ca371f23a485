"""Waiting for an accepted act to finish, with visible progress."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from hibiscuspoint.cli.errors import WaitError
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.cli.output import Output
    from hibiscuspoint.wire import peer_pb2

__all__ = ["wait_for_act", "wait_for_number", "wait_until"]

POLL_SECONDS = 0.2
#: An entry without contact for this long serves nothing (design D13), so it is not waited for.
LIVE_MS = 5_000
#: A new leader learns which entries are live from their reports, one every 250 ms (design section
#: 5), so the numbers count only after they held for several reports in one control term.
SETTLE_SECONDS = 1.0


async def wait_until(
    step: Callable[[], Awaitable[tuple[bool, str]]], output: Output, seconds: float
) -> str:
    """Repeat a step until it is finished; print each change of its progress.

    :param step: returns whether it is finished, and the progress.
    :param seconds: limit of the wait.
    :raises WaitError: the limit passed.
    """
    deadline = time.monotonic() + seconds
    shown = ""
    while True:
        is_finished, progress = await _attempt(step, shown)
        if progress != shown:
            output.progress(progress)
            shown = progress
        if is_finished:
            return progress
        if time.monotonic() >= deadline:
            raise WaitError(
                f"not finished after {seconds:g} s: {progress}", verdict=Verdict.MAY_HAVE_RUN
            )
        await asyncio.sleep(POLL_SECONDS)


async def _attempt(step: Callable[[], Awaitable[tuple[bool, str]]], shown: str) -> tuple[bool, str]:
    """Run a step; an instance that is out of reach for a moment does not end the wait."""
    try:
        return await step()
    except HibiscusError as error:
        if error.verdict is Verdict.MAY_HAVE_RUN or error.code in {"HP1003", "HP3002"}:
            return False, shown or error.message
        raise


async def wait_for_number(client: Client, number: int, output: Output, seconds: float) -> None:
    """Wait until every live instance reports a document number.

    :raises WaitError: an instance does not report it within the time.
    """
    settled_term: int | None = None
    settled_since = 0.0

    async def step() -> tuple[bool, str]:
        nonlocal settled_term, settled_since
        status = await client.status()
        is_reported, progress = _number_progress(status, number)
        now = time.monotonic()
        if not is_reported:
            settled_term = None
            return False, progress
        if status.control_term != settled_term:
            settled_term, settled_since = status.control_term, now
        return now - settled_since >= SETTLE_SECONDS, progress

    await wait_until(step, output, seconds)


def _number_progress(status: peer_pb2.StatusReply, number: int) -> tuple[bool, str]:
    live = [item for item in status.instances if item.silent_ms < LIVE_MS]
    behind = sorted(item.instance for item in live if item.document_number < number)
    progress = f"{len(live) - len(behind)} of {len(live)} instances report document {number}"
    if behind:
        progress += f", missing: {', '.join(behind)}"
    return bool(live) and not behind, progress


async def wait_for_act(
    act: Callable[[], Awaitable[peer_pb2.ActReply]], output: Output, seconds: float
) -> str:
    """Repeat an idempotent act until an instance reports it as finished.

    :raises WaitError: it is not finished within the time.
    """

    async def step() -> tuple[bool, str]:
        reply = await act()
        return reply.finished, reply.progress or ("finished" if reply.finished else "accepted")

    return await wait_until(step, output, seconds)

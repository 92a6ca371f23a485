"""The component that keeps this entry attached to the control leader."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import grpc
from circuits import Component, handler

from hibiscuspoint.components.events import update_received
from hibiscuspoint.core.leader_search import LeaderSearch
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.util.tasks import run_until_first, spawn
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.peers import PeerChannels
    from hibiscuspoint.components.runtime import Runtime

__all__ = ["Attachment"]

logger = logging.getLogger(__name__)

#: Seconds between two reports.
REPORT_INTERVAL_SECONDS = 0.25

#: Shortest time in seconds between two reports when there is news.
REPORT_SPACING_SECONDS = 0.005

#: Seconds without an update after which another control instance is tried.
SILENCE_SECONDS = 1.0

#: Seconds that a stream may take to end once the leader is silent; usually it ends at once.
GIVE_UP_SECONDS = 1.0

#: Seconds between two looks at a stream.
WATCH_SECONDS = 0.25

#: Seconds before the next control instance is tried.
RETRY_SECONDS = 0.1


class Attachment(Component):
    """Sends reports to the control leader and fires the updates that come back.

    :param members: addresses of the control instances, most likely ones first.
    :param make_report: builds the report that is sent next.
    :param on_update: called with each update before its event is fired.
    :param first_update_seconds: time to wait for the first update of an instance. It doubles up to
        the usual silence with each attempt in vain, for machines on which a connection takes long.
    :param silence_seconds: time without an update after which another instance is tried.
    :param on_detached: called when the stream to the leader ended.
    :param on_refused: called with the answer of an instance that does not lead.
    :param on_later_start: called with the incarnation of a later start of this instance that the
        leader knows.
    """

    channel = "attachment"

    def __init__(
        self,
        runtime: Runtime,
        channels: PeerChannels,
        members: list[str],
        make_report: Callable[[], peer_pb2.EntryReport],
        *,
        on_update: Callable[[peer_pb2.ControlUpdate], None] = lambda update: None,
        on_detached: Callable[[], None] = lambda: None,
        on_refused: Callable[[peer_pb2.ControlUpdate], None] = lambda update: None,
        on_later_start: Callable[[int], None] = lambda incarnation: None,
        silence_seconds: float = SILENCE_SECONDS,
        first_update_seconds: float = SILENCE_SECONDS,
    ) -> None:
        self._silence_seconds = silence_seconds
        self._first_update_seconds = first_update_seconds
        self._patience = first_update_seconds
        super().__init__()
        self._on_update = on_update
        self._on_detached = on_detached
        self._on_refused = on_refused
        self._on_later_start = on_later_start
        self._runtime = runtime
        self._channels = channels
        self._search = LeaderSearch(members)
        self._make_report = make_report
        self._address = ""
        self._leader = ""
        self._is_redirected = False
        self._suggested = asyncio.Event()
        self._attempt: asyncio.Task[None] | None = None
        self._attempt_number = 0
        self._news = asyncio.Event()
        self._heard_at = 0.0
        self._answered = asyncio.Event()
        # When the last report was made, and the last one that an update answered.
        self._sent_ns = self._answered_ns = 0
        self._task: asyncio.Task | None = None

    @handler("report_due", channel="*")
    def _on_report_due(self) -> None:
        """Send a report without waiting for the interval."""
        self._news.set()

    def set_members(self, members: list[str]) -> None:
        """Replace the control instances that are tried, most likely ones first."""
        self._search.set_members(members)

    def suggest_leader(self, address: str) -> None:
        """Try an instance that is said to lead at once, unless this entry is attached."""
        if self._leader or address == self._address or not self._search.suggest(address):
            return
        self._suggested.set()
        if self._attempt is not None:
            self._attempt.cancel()

    async def report(self, seconds: float) -> None:
        """Send a report and wait for the update that answers it, for ``seconds`` at most."""
        last_ns = self._sent_ns
        self._news.set()
        try:
            async with asyncio.timeout(seconds):
                while self._answered_ns <= last_ns:
                    self._answered.clear()
                    await self._answered.wait()
        except TimeoutError:
            logger.debug("the last report was not answered in time")

    def start(self) -> None:
        """Start to attach."""
        self._task = spawn(self._run(), "attachment")

    async def stop(self) -> None:
        """Detach."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            address = self._address = self._search.next_address()
            self._suggested.clear()
            self._is_redirected = False
            channel = self._channels.open(address)
            self._attempt_number += 1
            self._attempt = asyncio.ensure_future(self._attach(channel, address))
            try:
                reason = await self._watch(self._attempt)
            finally:
                self._attempt = None
                self._on_detached()
                # Not awaited: it waits for the call, which may never end.
                spawn(channel.close(), f"end of the channel to {address}")
            if self._leader:
                # Attempts that follow a loss are not logged: they come every 0.1 s.
                log_event(logger, catalogue.CONTROL_DETACHED, address=address, reason=reason)
                self._leader = ""
            else:
                longest = max(self._first_update_seconds, SILENCE_SECONDS)
                self._patience = min(2 * self._patience, longest)
            if not self._is_redirected:
                await self._pause()

    async def _pause(self) -> None:
        """Wait before the next attempt, but not when a leader has become known."""
        try:
            async with asyncio.timeout(RETRY_SECONDS):
                await self._suggested.wait()
        except TimeoutError:
            return

    async def _watch(self, attached: asyncio.Task[None]) -> str:
        """Wait until a stream ends and return why.

        After the process was suspended, a stream of gRPC may neither end nor be cancelled. It is
        given up then, without waiting for it.
        """
        loop = asyncio.get_running_loop()
        attached.add_done_callback(_retrieve)
        self._heard_at = loop.time()
        try:
            while not attached.done():
                await asyncio.wait({attached}, timeout=WATCH_SECONDS)
                longest = max(self._silence_seconds, self._patience)
                if loop.time() - self._heard_at > longest + GIVE_UP_SECONDS:
                    return "the stream to the silent leader does not end"
        finally:
            attached.cancel()
        if attached.cancelled():
            return "another instance is said to lead"
        error = attached.exception()
        if error is None:
            return "redirected" if self._is_redirected else "not the leader"
        if isinstance(error, (grpc.aio.AioRpcError, asyncio.InvalidStateError, TimeoutError)):
            return _reason(error)
        raise error

    async def _attach(self, channel: grpc.aio.Channel, address: str) -> None:
        call = peer_pb2_grpc.ControlStub(channel).Attach()
        self._heard_at = asyncio.get_running_loop().time()
        try:
            await run_until_first(self._receive(call), self._send(call, address))
        finally:
            call.cancel()

    async def _receive(self, call: grpc.aio.StreamStreamCall) -> None:
        loop = asyncio.get_running_loop()
        number = self._attempt_number
        while (update := decoded(await call.read())) is not grpc.aio.EOF:
            if number != self._attempt_number:
                # The stream was given up but did not end; its updates are those of another leader.
                return
            if update.redirect or not update.control_term:
                if update.later_incarnation:
                    # Attached again after the usual pause: two processes that use one address by
                    # mistake would else replace each other without end.
                    self._on_later_start(update.later_incarnation)
                    return
                self._on_refused(update)
                self._redirect_to(update.redirect)
                return
            self._heard_at = loop.time()
            if update.leader != self._leader:
                self._leader = update.leader
                self._search.record_found(self._address)
                self._patience = self._first_update_seconds
                log_event(
                    logger,
                    catalogue.CONTROL_ATTACHED,
                    leader=update.leader,
                    term=update.control_term,
                )
            self._answered_ns = update.echo_sent_at_ns
            self._answered.set()
            self._on_update(update)
            self._runtime.dispatch(update_received(update))

    def _redirect_to(self, address: str) -> None:
        if address:
            self._is_redirected = True
            self._search.redirect(address)

    async def _send(self, call: grpc.aio.StreamStreamCall, address: str) -> None:
        loop = asyncio.get_running_loop()
        generation = self._channels.generation
        while True:
            limit = self._silence_seconds if self._leader else self._patience
            if loop.time() - self._heard_at > limit:
                raise TimeoutError("the control leader is silent")
            if self._channels.generation != generation:
                # Attaches again at once, with the changed certificate.
                self._redirect_to(address)
                return
            self._news.clear()
            async with asyncio.timeout(limit):
                report = self._make_report()
                self._sent_ns = report.sent_at_ns
                await call.write(report)
            sent_at = loop.time()
            try:
                async with asyncio.timeout(REPORT_INTERVAL_SECONDS):
                    await self._news.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(max(0.0, sent_at + REPORT_SPACING_SECONDS - loop.time()))


def _retrieve(task: asyncio.Task[None]) -> None:
    """Take the error of a stream that was given up, so that asyncio does not report it."""
    if not task.cancelled():
        task.exception()


def _reason(error: Exception) -> str:
    """Return why a stream ended, in one line."""
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error) or type(error).__name__

"""One connection to a stand-in target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc

from hibiscuspoint.drivers.answer import AnswerError, AnswerParts
from hibiscuspoint.drivers.errors import ConnectionLost, TargetFailure
from hibiscuspoint.drivers.liveness import LivenessTimer
from hibiscuspoint.util.messages import decoded
from hibiscuspoint.wire import target_pb2

if TYPE_CHECKING:
    from hibiscuspoint.drivers.answer import RunResult

__all__ = ["StandinConnection"]


class StandinConnection:
    """A connection that belongs to one transaction at a time and runs one request at a time.

    :param channel: channel of this connection alone; closed with it.
    :param call: the ``Open`` stream after its welcome.
    :param ping_delay_seconds: seconds by which an answer may be late before a ping is sent.
    :param silence_timeout_seconds: seconds after a ping within which a message must arrive.
    """

    def __init__(
        self,
        channel: grpc.aio.Channel,
        call: grpc.aio.StreamStreamCall,
        incarnation: int,
        *,
        ping_delay_seconds: float,
        silence_timeout_seconds: float,
    ) -> None:
        self._channel = channel
        self._call = call
        self._incarnation = incarnation
        self._request_id = 0
        self._pending: asyncio.Future[RunResult] | None = None
        self._parts = AnswerParts(0)
        # gRPC fails a call on which a second write starts before the first has ended.
        self._write_lock = asyncio.Lock()
        self._is_closed = False
        self._in_transaction = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer = LivenessTimer(
            ping_delay_seconds=ping_delay_seconds,
            silence_timeout_seconds=silence_timeout_seconds,
            ping=self._send_ping,
            on_loss=self._fail,
        )
        self._start_task(self._read())

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open and has no pending answer."""
        return not self._is_closed and self._pending is None and not self._call.done()

    @property
    def incarnation(self) -> int:
        """Return the number that identifies this connection among all of the instance."""
        return self._incarnation

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open at the target."""
        return self._in_transaction

    async def run(self, run: target_pb2.Run, timeout: float, *, expected: float = 0.0) -> RunResult:
        """Run statements and return the whole, verified answer.

        :param timeout: seconds until the connection is closed without an answer.
        :param expected: seconds that the answer usually takes; a ping is sent when it is overdue.
        :raises TargetFailure: the target rejected the run.
        :raises ConnectionLost: the stream ended, the timeout passed or the answer was incomplete.
        :raises RuntimeError: an earlier run is still pending.
        """
        if self._pending is not None:
            raise RuntimeError("another run on the connection is still pending")
        if self._is_closed or self._call.done():
            self.close()
            raise ConnectionLost("the connection is closed", sent=False)
        self._request_id += 1
        pending = self._pending = asyncio.get_running_loop().create_future()
        self._parts = AnswerParts(len(run.statements))
        self._timer.start(timeout=timeout, expected=expected)
        try:
            await self._write(target_pb2.ConnectionRequest(request_id=self._request_id, run=run))
            result = await pending
        except TargetFailure:
            self._in_transaction = False
            raise
        except BaseException:
            # The answer is still outstanding, so the connection cannot serve another request.
            self._pending = None
            self.close()
            raise
        finally:
            self._pending = None
            self._timer.stop()
        self._in_transaction = not (run.commit or run.rollback) and (
            run.begin or self._in_transaction
        )
        return result

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""
        self._fail("the connection was closed")

    async def _write(self, request: target_pb2.ConnectionRequest) -> None:
        try:
            async with self._write_lock:
                await self._call.write(request)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            self._fail(str(error))
        except asyncio.CancelledError:
            # Cancelling the call cancels its writes; only a cancelled task propagates it.
            if not self._is_closed or asyncio.current_task().cancelling():
                raise

    async def _read(self) -> None:
        try:
            while True:
                reply = decoded(await self._call.read())
                if reply is grpc.aio.EOF:
                    self._fail("the target closed the connection")
                    return
                self._timer.record_message()
                self._handle_reply(reply)
        except AnswerError as error:
            self._fail(str(error))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            self._fail(f"the stream failed: {error}")

    def _handle_reply(self, reply: target_pb2.ConnectionReply) -> None:
        if reply.connection_incarnation != self._incarnation:
            raise AnswerError("the answer belongs to another connection")
        kind = reply.WhichOneof("body")
        if kind == "pong":
            return
        if self._pending is None or reply.request_id != self._request_id:
            raise AnswerError("the answer belongs to another request")
        if kind == "rows":
            self._parts.add(reply.rows)
        elif kind == "end":
            self._resolve(self._parts.finish(reply.end))
        elif kind == "failure":
            failure = reply.failure
            self._reject(TargetFailure(failure.kind, failure.message, failure.not_run))
        else:
            raise AnswerError(f"unexpected reply {kind!r}")

    def _resolve(self, result: RunResult) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(result)

    def _reject(self, error: Exception) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(error)

    def _send_ping(self) -> None:
        # A blocked write prevents a ping; silence then counts as for an unanswered ping.
        if not self._write_lock.locked():
            request = target_pb2.ConnectionRequest(
                request_id=self._request_id, ping=target_pb2.Ping()
            )
            self._start_task(self._write(request))

    def _fail(self, message: str, is_silent: bool = False) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._timer.stop()
        self._reject(ConnectionLost(message, sent=True, is_silent=is_silent))
        self._call.cancel()
        self._start_task(self._close_channel())

    async def _close_channel(self) -> None:
        await self._channel.close()

    def _start_task(self, work: object) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

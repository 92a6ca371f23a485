"""Caller library: sessions that keep their token while they move between entries."""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Self

import grpc
import grpc.aio

from hibiscuspoint.errors import HibiscusError, NotReadyError
from hibiscuspoint.load.answers import Answer, verify
from hibiscuspoint.load.entries import EntryPool
from hibiscuspoint.load.errors import EntryLostError, EntryUnreachableError
from hibiscuspoint.load.transaction import Transaction
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import caller_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.ids import CallerId, GroupId, RequestId
    from hibiscuspoint.load.entries import EntryConnection
    from hibiscuspoint.wire import common_pb2

__all__ = ["Caller", "Idempotency", "Roaming", "Session"]

#: Time for a call when none is given, in seconds.
DEFAULT_TIMEOUT_S = 5.0
#: Time for the establishment of a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Time beyond that of the call after which its connection counts as silent, in seconds.
SILENCE_GRACE_S = 1.0


class Roaming(Enum):
    """When a session moves to another entry."""

    #: Only after a failure, or when the entry asks for it.
    ON_FAILURE = "on-failure"
    #: After each request.
    EACH_REQUEST = "each-request"


@dataclass(frozen=True, slots=True)
class Idempotency:
    """Identifies a request that must not run twice.

    :param issued_at_ms: Unix time in ms at which the id was issued; sent unchanged on a repeat.
    """

    request_id: RequestId
    issued_at_ms: int

    @classmethod
    def issue(cls, request_id: RequestId) -> Self:
        """Return the identification of a request issued now."""
        return cls(request_id, int(time.time() * MILLISECONDS_PER_SECOND))


class Caller:
    """A client program with any number of sessions.

    :param addresses: ``ip:port`` of each known entry.
    :param caller_id: name under which the entries queue the requests of this program.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        caller_id: CallerId,
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        self._pool = EntryPool(addresses, credentials)
        self._caller_id = caller_id
        self._call_ids = itertools.count(1)

    @property
    def caller_id(self) -> CallerId:
        """Return the name of this program."""
        return self._caller_id

    @property
    def pool(self) -> EntryPool:
        """Return the connections to the entries."""
        return self._pool

    def next_call_id(self) -> int:
        """Return a call id that is unique for this program."""
        return next(self._call_ids)

    def session(self, roaming: Roaming = Roaming.ON_FAILURE, entry: int | None = None) -> Session:
        """Return a new session.

        :param entry: index of the first entry; round robin over the sessions when ``None``.
        """
        return Session(self, roaming, self._pool.assign() if entry is None else entry)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self.close()


class Session:
    """A sequence of requests that observes its own writes through any entry.

    A session runs one request at a time.
    """

    def __init__(self, caller: Caller, roaming: Roaming, entry: int) -> None:
        self._caller = caller
        self._roaming = roaming
        self._index = entry
        self._token = b""
        self._go_elsewhere = False

    @property
    def token(self) -> bytes:
        """Return the session token of the latest reply."""
        return self._token

    @property
    def entry(self) -> str:
        """Return ``ip:port`` of the entry that serves the next request."""
        return self._connection.address

    @property
    def _connection(self) -> EntryConnection:
        return self._caller.pool[self._index]

    def move(self) -> None:
        """Move to the next entry."""
        self._index += 1
        self._go_elsewhere = False

    def keep(self, reply: caller_pb2.ExecuteReply) -> None:
        """Keep the token of a reply, and note whether its entry asks the session to move."""
        if reply.token:
            self._token = reply.token
        self._go_elsewhere = self._go_elsewhere or reply.go_elsewhere
        if reply.go_elsewhere:
            self._connection.avoid()

    def after_request(self, *, failed: bool = False) -> None:
        """Move at the end of a request when the entry, the policy or a failure asks for it."""
        if failed or self._go_elsewhere or self._roaming is Roaming.EACH_REQUEST:
            self.move()

    async def read(
        self,
        group: GroupId,
        *statements: common_pb2.Statement,
        max_age_ms: int = 0,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> Answer:
        """Read; without a maximum age the read is linearizable.

        :param max_age_ms: greatest accepted age of the data in ms; 0 accepts no stale data.
        :param timeout: seconds.
        :raises HibiscusError: the request failed; its verdict tells whether it ran.
        """
        request = self._request(group, statements, timeout)
        request.read.max_age_ms = max_age_ms
        return await self._execute(request, timeout)

    async def write(
        self,
        group: GroupId,
        *statements: common_pb2.Statement,
        idempotency: Idempotency | None = None,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> Answer:
        """Run statements as one transaction.

        :param timeout: seconds.
        :raises HibiscusError: the request failed; its verdict tells whether it ran.
        """
        request = self._request(group, statements, timeout)
        if idempotency is not None:
            request.idempotency.id = idempotency.request_id
            request.idempotency.issued_at_ms = idempotency.issued_at_ms
        return await self._execute(request, timeout)

    async def transact(
        self,
        group: GroupId,
        *statements: common_pb2.Statement,
        timeout: float = DEFAULT_TIMEOUT_S,
    ) -> Transaction:
        """Begin an interactive transaction and run its first statements.

        :param timeout: seconds for the whole transaction.
        :raises HibiscusError: the begin failed; its verdict tells whether it ran.
        """
        connection = await self._reachable(time.monotonic() + timeout)
        request = self._request(group, statements, timeout)
        call = connection.stub.Transact(timeout=timeout + SILENCE_GRACE_S, wait_for_ready=False)
        transaction = Transaction(self, call, connection, self._caller.next_call_id)
        try:
            await transaction.begin(request)
        except HibiscusError:
            transaction.abandon()
            raise
        return transaction

    def _request(
        self, group: GroupId, statements: Sequence[common_pb2.Statement], timeout: float
    ) -> caller_pb2.ExecuteRequest:
        return caller_pb2.ExecuteRequest(
            call_id=self._caller.next_call_id(),
            caller=self._caller.caller_id,
            group=group,
            token=self._token,
            statements=statements,
            timeout_ms=max(1, int(timeout * MILLISECONDS_PER_SECOND)),
        )

    def _pass_avoided(self) -> None:
        """Move past entries that are stopping, unless all are."""
        for _ in range(len(self._caller.pool) - 1):
            if not self._connection.is_avoided:
                return
            self.move()

    async def _reachable(self, deadline: float) -> EntryConnection:
        """Return an established connection, trying each entry once."""
        self._pass_avoided()
        for attempt in range(len(self._caller.pool)):
            connection = self._connection
            remaining = deadline - time.monotonic()
            try:
                await connection.ready(max(0.0, min(remaining, CONNECT_TIMEOUT_S)))
            except EntryUnreachableError:
                self.move()
                if attempt + 1 == len(self._caller.pool) or time.monotonic() >= deadline:
                    raise
            else:
                return connection
        raise AssertionError("a pool has at least one entry")

    async def _execute(self, request: caller_pb2.ExecuteRequest, timeout: float) -> Answer:
        connection = await self._reachable(time.monotonic() + timeout)
        try:
            reply = await connection.stub.Execute(
                request, timeout=timeout + SILENCE_GRACE_S, wait_for_ready=False
            )
        except grpc.aio.AioRpcError as error:
            raise self.broken(connection, error) from error
        self.keep(reply)
        try:
            answer = verify(reply, request.call_id, len(request.statements), connection.address)
        except HibiscusError as error:
            self.after_request(failed=isinstance(error, NotReadyError))
            raise
        self.after_request()
        return answer

    def broken(
        self, connection: EntryConnection, error: grpc.aio.AioRpcError, *, rolled_back: bool = False
    ) -> EntryLostError:
        """Return the error of a call that broke after it was handed to a connection.

        The call may have reached the entry, whatever the status says.
        """
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            connection.replace()
        self.move()
        return EntryLostError(
            f"the call to {connection.address} broke with status {error.code().name}",
            rolled_back=rolled_back,
        )

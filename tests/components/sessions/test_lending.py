"""What ties the answers of a lent connection to its statements."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest

from hibiscuspoint.components.sessions.attempts import ATTEMPT_ROUNDS, Attempts, Candidate
from hibiscuspoint.components.sessions.borrowing import HeldRead
from hibiscuspoint.components.sessions.transactions import UNCLEAR_ATTEMPTS
from hibiscuspoint.core.sessions import ConnectionDemand, Failure, SessionContext
from hibiscuspoint.drivers.errors import AnswerUnclear, ConnectionLost
from tests.builders_failover import GROUP, PRIMARY
from tests.components.sessions.harness import DATABASE, statement
from tests.components.sessions.lending import EarlierLending, RepeatingLending
from tests.components.sessions.test_borrowing import _borrowers, _idle, _primary, _until

TRANSACTION = ("BEGIN", "WRITE x 1", "WRITE y 1", "COMMIT")


async def _borrow(entry):
    demand = ConnectionDemand(entry.clock.monotonic() + 1)
    return await entry.access.borrow(GROUP, _primary(entry), demand)


async def _run(entry, connection, text: str):
    deadline = entry.clock.monotonic() + 1
    return await connection.run(statement(text), SessionContext(), deadline)


def _failures(replies) -> list[Failure | None]:
    return [reply.error.failure if reply.error is not None else None for reply in replies]


def _log(holder) -> list[str]:
    return [text for text, _ in holder.targets[PRIMARY].log]


@pytest.mark.parametrize(
    ("repeated", "last", "failure"),
    [(2, 2, Failure.ABORTED), (3, 3, Failure.ABORTED), (4, 4, Failure.IN_DOUBT)],
)
def test_reply_that_comes_twice_is_not_taken_for_the_next_one(repeated, last, failure):
    """Guards against a statement that gets the signature of the one before it."""

    async def scenario():
        lend = type("Lending", (RepeatingLending,), {"repeated": repeated})
        async with _borrowers(lend=lend) as (entry, holder, _):
            replies = await entry.run(entry.session(), *TRANSACTION[:last])
            assert _failures(replies) == [None] * (last - 1) + [failure]
            assert entry.access.counts(PRIMARY).timeouts == 0
            (connection,) = holder.targets[PRIMARY].connections
            # The use ends before or after the commit, but never inside the transaction.
            await _until(lambda: _idle(holder) == connection.is_open)
            assert last == len(TRANSACTION) or not connection.is_open

    asyncio.run(scenario())


def test_holder_of_an_earlier_version_is_used():
    """Guards against instances that cannot borrow from others while a deployment is upgraded."""

    async def scenario():
        async with _borrowers(lend=EarlierLending) as (entry, holder, _):
            replies = await entry.run(entry.session(), *TRANSACTION, "WRITE z 1")
            assert _failures(replies) == [None] * 5
            assert _log(holder) == [*TRANSACTION, "WRITE z 1"]

    asyncio.run(scenario())


def test_one_request_is_in_progress_at_a_time():
    """Guards against two requests on one stream, each of which could get the other's answer."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            holder.targets[PRIMARY].delay = 0.05
            connection = await _borrow(entry)
            first = asyncio.create_task(_run(entry, connection, "WRITE x 1"))
            await asyncio.sleep(0.01)
            with pytest.raises(ConnectionLost) as raised:
                await _run(entry, connection, "WRITE y 1")
            assert not raised.value.sent
            assert (await first).error is None
            assert _log(holder) == ["WRITE x 1"]
            connection.give_back()
            await _until(lambda: _idle(holder) == 1)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_lent", [True, False])
def test_commit_that_finds_its_connection_ended_is_aborted(is_lent):
    """Guards against a commit that is in doubt, and so is not repeated, though it was not sent."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            user = entry if is_lent else holder
            session = user.session()
            await user.run(session, *TRANSACTION[:-1])
            (connection,) = holder.targets[PRIMARY].connections
            connection.is_open = False
            replies = await user.run(session, "COMMIT", "BEGIN", "WRITE z 1", "COMMIT")
            assert _failures(replies) == [Failure.ABORTED, None, None, None]
            assert _log(holder) == [*TRANSACTION[:-1], "BEGIN", "WRITE z 1", "COMMIT"]

    asyncio.run(scenario())


def test_lent_connection_that_ends_before_its_use_runs_nothing():
    """Guards against a statement that is in doubt though it was not sent."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            connection = await _borrow(entry)
            holder.targets[PRIMARY].connections[0].is_open = False
            with pytest.raises(ConnectionLost) as raised:
                await _run(entry, connection, "WRITE x 1")
            assert not raised.value.sent
            connection.give_back()
            await _until(lambda: holder.access.in_use(PRIMARY) == 0)
            assert _idle(holder) == 0

    asyncio.run(scenario())


def test_commit_that_finds_its_holder_gone_is_aborted():
    """Guards against a commit that is in doubt though its holder had ended before it."""

    async def scenario():
        async with _borrowers() as (entry, holder, server):
            session = entry.session()
            await entry.run(session, *TRANSACTION[:-1])
            held = session._transaction.connection
            await server.stop(0)
            await _until(held._call.done)
            (reply,) = await entry.run(session, "COMMIT")
            assert reply.error.failure is Failure.ABORTED
            assert _log(holder) == [*TRANSACTION[:-1]]

    asyncio.run(scenario())


def test_channel_that_is_closed_leaves_a_write_in_doubt():
    """Guards against a session that ends without an answer when certificates were renewed.

    The channel with the earlier certificate is closed some time later, and cancels its calls.
    """

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            session = entry.session()
            await entry.run(session, *TRANSACTION[:-1])
            holder.targets[PRIMARY].delay = 0.2
            commit = asyncio.create_task(entry.run(session, "COMMIT"))
            await asyncio.sleep(0.05)
            await entry.access._borrowing._channels.close()
            (reply,) = await commit
            assert reply.error.failure is Failure.IN_DOUBT

    asyncio.run(scenario())


@pytest.mark.parametrize("is_lent", [True, False])
def test_unclear_answer_to_a_read_has_it_tried_again(is_lent):
    """Guards against an error, and against blame for the target, after a repeated answer."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            user = entry if is_lent else holder
            for target in holder.targets.values():
                target.script.append(AnswerUnclear("repeated"))
            (reply,) = await user.run(user.session(), "READ x")
            assert (reply.error, reply.signature) == (None, "signature")
            assert not any(load.failed_at > 0 for load in user.access.loads.values())
            assert not any(item.timeouts for item in user.report().observations)

    asyncio.run(scenario())


def test_unclear_answers_say_nothing_about_a_target():
    """Guards against a healthy target without reads, at the entry and at the holder that lends."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            seen = []
            for harness in (entry, holder):
                harness.access.reads._balancer.record_lent = lambda *a, **k: seen.append(a)
            holder.targets[PRIMARY].script.extend([AnswerUnclear("repeated")] * 2)
            member = _primary(entry)
            candidate = Candidate(member, None, 1, *[entry.clock.monotonic() + 1] * 2)
            attempts = Attempts(entry.access, SessionContext(), entry.clock)
            route = entry.state.document.routes[DATABASE]
            with pytest.raises(AnswerUnclear):
                await attempts.run_once(route, candidate, statement("READ x"), None)
            read = HeldRead(statement("READ x"), SessionContext(), entry.clock.monotonic() + 1)
            demand = ConnectionDemand(entry.clock.monotonic() + 1)
            with pytest.raises(AnswerUnclear):
                await entry.access.run_read(GROUP, member, demand, read)
            assert seen == []
            assert holder.targets[PRIMARY].script == deque()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_lent", [True, False])
@pytest.mark.parametrize(
    ("texts", "failure"),
    [
        (("WRITE x 1",), Failure.IN_DOUBT),
        (("BEGIN", "READ y", "WRITE x 1"), Failure.ABORTED),
        (("BEGIN", "READ y", "READ x"), Failure.ABORTED),
        (("BEGIN", "READ x", "COMMIT"), Failure.ABORTED),
        (TRANSACTION, Failure.IN_DOUBT),
    ],
)
def test_unclear_answer_tells_a_caller_what_is_certain(texts, failure, is_lent):
    """Guards against a promise that is not known to be true, and against a connection kept open."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            user = entry if is_lent else holder
            session = user.session()
            await user.run(session, *texts[:-1])
            holder.targets[PRIMARY].script.append(AnswerUnclear("repeated"))
            (reply,) = await user.run(session, texts[-1])
            assert reply.error.failure is failure
            assert not any(c.is_open for c in holder.targets[PRIMARY].connections)
            assert len(_log(holder)) == len(texts) - 1

    asyncio.run(scenario())


def test_unclear_answer_to_begin_costs_a_caller_nothing():
    """Guards against a transaction that is aborted before its first statement was sent."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            holder.targets[PRIMARY].script.append(AnswerUnclear("repeated"))
            replies = await entry.run(entry.session(), *TRANSACTION)
            assert _failures(replies) == [None] * 4
            assert _log(holder) == [*TRANSACTION]

    asyncio.run(scenario())


def test_cancelled_request_ends_the_use():
    """Guards against an answer to a cancelled statement that the next statement gets."""

    async def scenario():
        async with _borrowers() as (entry, holder, _):
            holder.targets[PRIMARY].delay = 0.2
            connection = await _borrow(entry)
            task = asyncio.create_task(_run(entry, connection, "WRITE x 1"))
            await asyncio.sleep(0.05)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            with pytest.raises(ConnectionLost) as raised:
                await _run(entry, connection, "WRITE y 1")
            assert not raised.value.sent
            connection.give_back()
            await _until(lambda: not any(c.is_open for c in holder.targets[PRIMARY].connections))
            assert _idle(holder) == 0

    asyncio.run(scenario())


def test_unclear_answers_to_begin_are_tried_again_within_bounds():
    """Guards against a storm of connections to a target whose answers are always unclear.

    Load pattern: each answer of the target is unclear.
    """

    async def scenario():
        async with _borrowers() as (_, holder, _):
            target = holder.targets[PRIMARY]
            target.script.extend([AnswerUnclear("repeated")] * (UNCLEAR_ATTEMPTS - 1))
            replies = await holder.run(holder.session(), *TRANSACTION)
            assert _failures(replies) == [None] * 4
            target.script.extend([AnswerUnclear("repeated")] * 1000)
            _, reply = await holder.run(holder.session(), "BEGIN", "WRITE x 1")
            assert reply.error.failure is Failure.OVERLOADED
            assert 1000 - len(target.script) <= UNCLEAR_ATTEMPTS * ATTEMPT_ROUNDS

    asyncio.run(scenario())

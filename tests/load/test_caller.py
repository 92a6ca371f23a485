"""Tests of the caller library against a fake entry."""

from __future__ import annotations

import asyncio

import pytest

from hibiscuspoint.errors import HibiscusError, NotReadyError, OverloadError, StatementError
from hibiscuspoint.ids import CallerId, GroupId, RequestId
from hibiscuspoint.load import caller as caller_module
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller, Idempotency, Roaming
from hibiscuspoint.load.errors import (
    EntryLostError,
    EntryUnreachableError,
    IncompleteAnswerError,
    UnknownReplyError,
)
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import common_pb2
from tests.load.fake_entry import serve

GROUP = GroupId("g")
READ = statement("SELECT 1")


def run(test, entries: int = 1, roaming: Roaming = Roaming.ON_FAILURE, dead_first: bool = False):
    """Run a test coroutine with fake entries and a session over all of them."""

    async def main():
        async with serve(entries) as fakes:
            addresses = [fake.address for fake in fakes]
            if dead_first:
                addresses.insert(0, PortAllocator().address())
            async with Caller(addresses, CallerId("test")) as caller:
                await test(caller.session(roaming), *fakes)

    asyncio.run(main())


def test_refused_connection_is_not_run():
    """A refused connection sent nothing; another verdict would stop safe retries."""

    async def main():
        allocator = PortAllocator()
        async with Caller([allocator.address(), allocator.address()], CallerId("test")) as caller:
            with pytest.raises(EntryUnreachableError) as caught:
                await caller.session().read(GROUP, READ)
        assert caught.value.verdict is Verdict.NOT_RUN

    asyncio.run(main())


def test_session_moves_past_a_refused_entry():
    """A session must reach a living entry when its own is gone."""

    async def test(session, fake):
        answer = await session.read(GROUP, READ)
        assert answer.entry == fake.address

    run(test, dead_first=True)


def test_broken_call_may_have_run():
    """UNAVAILABLE also stands for a connection lost after sending; NOT_RUN would be a lie."""

    async def test(session, fake):
        fake.abort = True
        with pytest.raises(EntryLostError) as caught:
            await session.write(GROUP, READ)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert len(fake.requests) == 1

    run(test)


def test_silent_entry_may_have_run_and_its_connection_is_replaced(monkeypatch):
    """A silent connection that is kept would fail every later call of the session."""
    monkeypatch.setattr(caller_module, "SILENCE_GRACE_S", 0.2)

    async def test(session, fake):
        fake.hang = True
        with pytest.raises(EntryLostError) as caught:
            await session.write(GROUP, READ, timeout=0.2)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        fake.hang = False
        assert (await session.read(GROUP, READ)).rows == ((1, "a"), (2, None))

    run(test)


def test_replaced_connection_lets_other_calls_end_by_themselves(monkeypatch):
    """A call that the caller's own library cancels would end the session without an outcome."""
    monkeypatch.setattr(caller_module, "SILENCE_GRACE_S", 0.2)
    outcomes = []

    async def write(session, timeout):
        try:
            await session.write(GROUP, READ, timeout=timeout)
        except HibiscusError as error:
            outcomes.append(error.verdict)

    async def main():
        async with serve() as (fake,), Caller([fake.address], CallerId("test")) as caller:
            fake.hang = True
            calls = [write(caller.session(), timeout) for timeout in (0.2, 6.0)]
            await asyncio.gather(*calls, return_exceptions=True)

    asyncio.run(main())
    assert outcomes == [Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN]


def _wrong_call(reply):
    reply.call_id += 1


def _missing_row(reply):
    del reply.results[0].rows[1]


def _changed_value(reply):
    reply.results[0].rows[0].values[0].integer = 7


def _missing_result(reply):
    del reply.results[0]


@pytest.mark.parametrize("damage", [_wrong_call, _missing_row, _changed_value, _missing_result])
def test_damaged_answer_is_an_error(damage):
    """G4: a caller must never take another call's answer, or a part of its own, as whole."""

    async def test(session, fake):
        fake.change = damage
        with pytest.raises(IncompleteAnswerError):
            await session.read(GROUP, READ)

    run(test)


def _without_rows(reply):
    reply.replayed = True
    reply.without_rows = True
    for result in reply.results:
        del result.rows[:]


def _without_results(reply):
    _without_rows(reply)
    del reply.results[:]


@pytest.mark.parametrize(("change", "row_counts"), [(_without_rows, [2]), (_without_results, [])])
def test_replay_whose_rows_were_not_recorded_is_an_answer(change, row_counts):
    """A write that ran must not be reported as a broken answer when it is repeated (D8)."""

    async def test(session, fake):
        fake.change = change
        answer = await session.write(GROUP, READ)
        assert answer.replayed and answer.without_rows
        assert [result.row_count for result in answer.results] == row_counts
        assert answer.rows == ()

    run(test)


def _part_of_the_rows(reply):
    _without_rows(reply)
    reply.results[0].rows.add()


def _first_run_without_rows(reply):
    _without_rows(reply)
    reply.replayed = False


def _replay_short_of_rows(reply):
    _without_rows(reply)
    reply.without_rows = False


def _replay_short_of_results(reply):
    _without_rows(reply)
    del reply.results[1:]


@pytest.mark.parametrize(
    "damage",
    [_part_of_the_rows, _first_run_without_rows, _replay_short_of_rows, _replay_short_of_results],
)
def test_other_answers_without_rows_are_errors(damage):
    """G4: only a replay that says so may come without its rows, and then without all of them."""

    async def test(session, fake):
        fake.change = damage
        with pytest.raises(IncompleteAnswerError):
            await session.write(GROUP, READ, READ)

    run(test)


def test_token_follows_the_session_to_other_entries():
    """G1 depends on the token of the last reply reaching the next entry."""

    async def test(session, first, second):
        await session.write(GROUP, READ)
        await session.read(GROUP, READ)
        assert second.requests[0].token == f"{first.address}#1".encode()
        await session.read(GROUP, READ)
        assert first.requests[1].token == f"{second.address}#2".encode()

    run(test, entries=2, roaming=Roaming.EACH_REQUEST)


def test_go_elsewhere_moves_the_session():
    """A stopping entry must lose its sessions before it exits."""

    async def test(session, first, second):
        def ask(reply):
            reply.go_elsewhere = True

        first.change = ask
        assert (await session.read(GROUP, READ)).go_elsewhere
        assert (await session.read(GROUP, READ)).entry == second.address
        assert (await session.read(GROUP, READ)).entry == second.address

    run(test, entries=2)


@pytest.mark.parametrize(
    ("code", "verdict", "error_type", "expected"),
    [
        ("HP2005", common_pb2.NOT_RUN, OverloadError, Verdict.NOT_RUN),
        ("HP2003", common_pb2.NOT_RUN, NotReadyError, Verdict.NOT_RUN),
        ("HP2005", common_pb2.MAY_HAVE_RUN, OverloadError, Verdict.MAY_HAVE_RUN),
        ("HP9999", common_pb2.VERDICT_UNSPECIFIED, UnknownReplyError, Verdict.MAY_HAVE_RUN),
    ],
)
def test_rejection_is_typed_and_keeps_its_verdict(code, verdict, error_type, expected):
    """A default of the error class must not replace the verdict that the entry gave."""

    async def test(session, fake):
        def reject(reply):
            reply.verdict = verdict
            reply.error.code = code

        fake.change = reject
        with pytest.raises(error_type) as caught:
            await session.read(GROUP, READ)
        assert caught.value.verdict is expected

    run(test)


def test_repeat_carries_the_same_identification():
    """A repeat with another issue time or id would not be recognized as the same request."""

    async def test(session, fake):
        idempotency = Idempotency.issue(RequestId("r1"))
        await session.write(GROUP, READ, idempotency=idempotency)
        await session.write(GROUP, READ, idempotency=idempotency)
        first, second = (request.idempotency for request in fake.requests)
        assert first == second
        assert first.id == "r1"

    run(test)


def test_transaction_sends_its_steps_in_order():
    """Statements after the end, or a missing end, would leave the transaction open."""

    async def test(session, fake):
        async with await session.transact(GROUP, READ) as transaction:
            await transaction.run(READ, READ)
            await transaction.commit()
            with pytest.raises(HibiscusError):
                await transaction.run(READ)
        assert fake.steps == ["begin", "run", "end"]
        assert session.token

    run(test)


def test_transaction_left_by_an_error_is_rolled_back():
    """Leaving the context without an end would hold a connection of the target."""

    async def test(session, fake):
        with pytest.raises(ZeroDivisionError):
            async with await session.transact(GROUP, READ):
                raise ZeroDivisionError
        assert fake.steps == ["begin", "end"]

    run(test)


@pytest.mark.parametrize(("step", "rolled_back"), [("run", True), ("end", False)])
def test_broken_transaction_is_rolled_back_only_before_commit(step, rolled_back):
    """A lost commit may have run; claiming a rollback would lose a write."""

    async def test(session, fake):
        fake.break_at = step
        async with await session.transact(GROUP, READ) as transaction:
            with pytest.raises(EntryLostError) as caught:
                await transaction.run(READ)
                await transaction.commit()
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert caught.value.rolled_back is rolled_back

    run(test)


def test_stream_that_ends_between_steps_is_a_typed_error():
    """gRPC raises another exception when the entry is lost while no step is in progress."""

    async def test(session, fake):
        fake.break_after = "begin"
        async with await session.transact(GROUP, READ) as transaction:
            await transaction._call.code()
            with pytest.raises(EntryLostError) as caught:
                await transaction.run(READ)
        assert caught.value.rolled_back

    run(test)


def test_transaction_that_cannot_begin_ends_its_stream():
    """A stream left open would hold a connection of the target until its time ends."""

    async def test(session, fake):
        def reject(reply):
            reply.error.code = "HP2008"

        fake.change = reject
        with pytest.raises(StatementError):
            await session.transact(GROUP, READ)
        async with asyncio.timeout(30):
            await fake.ended.wait()

    run(test)


def test_restarted_entry_is_used_again():
    """A session must not avoid an entry for ever after one refusal."""

    async def main():
        async with serve() as (fake,):
            address = fake.address
            async with Caller([address], CallerId("test")) as caller:
                session = caller.session()
                await session.read(GROUP, READ)
                await fake.stop()
                with pytest.raises(HibiscusError):
                    await session.read(GROUP, READ)
                await fake.start()
                async with asyncio.timeout(30):
                    assert await _until_answered(session)

    asyncio.run(main())


async def _until_answered(session) -> bool:
    while True:
        try:
            await session.read(GROUP, READ)
        except EntryUnreachableError:
            await asyncio.sleep(0.05)
        else:
            return True

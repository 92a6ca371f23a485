"""Tests of the polls of the control leader over connections whose answers may be repetitions."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest

from hibiscuspoint.components import target_poller
from hibiscuspoint.components.runtime import SystemClock
from hibiscuspoint.components.target_poller import TargetPoller
from hibiscuspoint.core.control.state import TargetRecord
from hibiscuspoint.core.failover import StatusAnswer, TargetStatus
from hibiscuspoint.drivers.errors import ConnectError, ConnectFailure
from hibiscuspoint.ids import AvailabilityZone, GroupId, Incarnation, TargetId, Term
from tests.builders_failover import position

TARGET = TargetId("i-0")
RECORD = TargetRecord(
    TARGET, GroupId("g"), "127.0.0.1:1", AvailabilityZone("z"), slots=2, incarnation=Incarnation(1)
)


class _Driver:
    """Opens connections that answer polls and orders from one list."""

    def __init__(self, *answers: StatusAnswer) -> None:
        self._answers = deque(answers)
        self.opened = 0
        self.is_open = False
        self.done = asyncio.Event()

    async def connect(self, *args, **kwargs) -> _Driver:
        self.opened += 1
        self.is_open = True
        return self

    async def status(self, timeout: float) -> StatusAnswer:
        if not self._answers:
            self.done.set()
            await asyncio.Event().wait()
        return self._answers.popleft()

    async def pause(self, term: int, timeout: float) -> StatusAnswer:
        return self._answers.popleft()

    def close(self) -> None:
        self.is_open = False


class _Leader:
    """Records the statuses that polls returned, with the time at which they were read."""

    def __init__(self) -> None:
        self.seen: list[tuple[int, bool]] = []

    def handle_status(self, target, status, source, polled_at, now, read_at):
        self.seen.append((status.received.index, read_at == polled_at))
        return []


def _status(index: int, paused_term: int = 0) -> TargetStatus:
    return TargetStatus(True, Term(1), position(index), Term(paused_term))


def _poll(*answers: StatusAnswer) -> tuple[_Driver, _Leader]:
    async def scenario():
        driver, leader = _Driver(*answers), _Leader()
        poller = TargetPoller(driver, SystemClock())
        poller.set_decision_runner(lambda act: act(leader))
        poller.set_targets([RECORD], set(), {"g"})
        async with asyncio.timeout(5.0):
            await driver.done.wait()
        poller.stop()
        return driver, leader

    return asyncio.run(scenario())


def test_repeated_status_is_no_newer_than_the_first_one():
    """Guards against stale reads and lost commits behind a position that is older than its poll."""
    driver, leader = _poll(
        StatusAnswer(_status(1)), StatusAnswer(_status(1), False), StatusAnswer(_status(2))
    )
    assert leader.seen == [(1, True), (1, False), (2, True)]
    assert driver.opened == 1


def test_status_that_contradicts_the_last_one_must_be_new():
    """Guards against an answer from before the last one, which came again."""
    driver, leader = _poll(
        StatusAnswer(_status(1)), StatusAnswer(_status(2)), StatusAnswer(_status(1), False)
    )
    assert leader.seen == [(1, True), (2, True)]
    assert driver.opened == 2


def test_connection_without_a_new_answer_is_replaced(monkeypatch):
    """Guards against a position that is never proven again while a target is idle."""
    monkeypatch.setattr(target_poller, "UNPROVEN_SECONDS", 0.0)
    driver, _ = _poll(
        StatusAnswer(_status(1)), StatusAnswer(_status(1), False), StatusAnswer(_status(1))
    )
    assert driver.opened == 2


def test_order_is_not_confirmed_by_a_repeated_answer():
    """Guards against a replica that counts as paused because of an earlier answer."""

    async def scenario():
        paused = StatusAnswer(_status(1, paused_term=2), is_new=False)
        driver = _Driver(paused, StatusAnswer(_status(1, paused_term=2)))
        poller = TargetPoller(driver, SystemClock())
        poller.set_decision_runner(lambda act: None)
        poller.set_targets([RECORD], set(), set())
        first = await poller.pause(TARGET, Term(2))
        was_open = driver.is_open
        second = await poller.pause(TARGET, Term(2))
        poller.stop()
        return first, was_open, second

    first, was_open, second = asyncio.run(scenario())
    assert first is None
    assert not was_open
    assert second.status.paused_term == 2


@pytest.mark.parametrize("failure", [None, ConnectFailure.WRONG_TARGET])
def test_order_does_not_reach_a_target_that_has_moved(failure):
    """Guards against a moved target that is taken for replaced, and against a lost connection."""

    async def scenario():
        driver, seen = _Driver(StatusAnswer(_status(1))), []
        may_connect = asyncio.Event()

        async def connect(*args, **kwargs):
            await may_connect.wait()
            if failure is not None:
                raise ConnectError(failure, "another target answers")
            driver.is_open = True
            return driver

        driver.connect = connect
        poller = TargetPoller(driver, SystemClock())
        poller.set_decision_runner(seen.append)
        poller.set_targets([RECORD], set(), set())
        order = asyncio.create_task(poller.pause(TARGET, Term(2)))
        await asyncio.sleep(0.01)
        poller.stop()
        may_connect.set()
        return await order, driver.is_open, seen

    assert asyncio.run(scenario()) == (None, False, [])

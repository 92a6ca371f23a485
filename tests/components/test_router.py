"""Tests of retries at other holders."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from hibiscuspoint.components.holder import GroupRequest
from hibiscuspoint.components.router import Router
from hibiscuspoint.core.position import ZERO_POSITION
from hibiscuspoint.errors import (
    HibiscusError,
    HolderLostError,
    NoHolderError,
    OverloadError,
    StatementError,
    TargetLostError,
)
from hibiscuspoint.ids import CallerId, GroupId, InstanceId, RequestId
from hibiscuspoint.verdict import Verdict


class _ScriptedRouter(Router):
    """Router whose attempts end with scripted outcomes, in order."""

    def __init__(self, outcomes: list[HibiscusError | str]) -> None:
        holders = [(InstanceId("one"), "one:1"), (InstanceId("two"), "two:1")]
        state = SimpleNamespace(holders=lambda _: holders)
        here = SimpleNamespace(instance=InstanceId("here"))
        super().__init__(state, here, None, SimpleNamespace(monotonic=self._now))
        self._outcomes = outcomes

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run_at(self, request, instance, address):
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, HibiscusError):
            raise outcome
        return outcome


async def _execute(outcomes: list[HibiscusError | str], seconds: float, **fields) -> object:
    deadline = asyncio.get_running_loop().time() + seconds
    request = GroupRequest(GroupId("ledger"), CallerId("c"), (), ZERO_POSITION, deadline, **fields)
    return await _ScriptedRouter(outcomes).execute(request)


@pytest.mark.parametrize(
    "later",
    [
        NoHolderError("no"),
        OverloadError("full"),
        StatementError("wrong"),
        TargetLostError("lost", rolled_back=True),
    ],
)
def test_lost_holder_is_not_hidden_by_a_later_failure(later):
    """Guards against a request that may have run being reported as without effect (G5).

    Its holder is lost, and the attempt at the next holder fails without effect.
    """
    outcomes = [HolderLostError("lost"), later]
    with pytest.raises(HolderLostError) as caught:
        asyncio.run(_execute(outcomes, 0.0, request_id=RequestId("r")))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_refused_request_is_tried_again_until_its_deadline():
    """Guards against a failure while holders change, although the deadline is not reached."""
    outcomes = [NoHolderError("no")] * 4 + ["done"]
    assert asyncio.run(_execute(outcomes, 30.0)) == "done"


def test_write_without_id_is_never_repeated():
    """Guards against a second run of a write without an id whose first run may commit (G6)."""
    with pytest.raises(HolderLostError):
        asyncio.run(_execute([HolderLostError("lost"), "done"], 30.0))

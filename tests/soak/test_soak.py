"""A short run of the soak, and every seed that ever failed."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from tests.platform.deployment import OTHER_SERVICE, SERVICE
from tests.platform.standin import StandinDatabase, StandinPlatform
from tests.platform.standin_connection import Run
from tests.soak.faults import ALL_KINDS, FIRST_KINDS, KINDS, START_KINDS
from tests.soak.history import ODD_TEXTS, History
from tests.soak.run import SCARCE_CONNECTIONS, run_seed

#: Seconds of faults in a short run.
SHORT_SECONDS = 8.0

#: Seconds of faults of a seed that failed in a long run.
REGRESSION_SECONDS = 12.0

#: Seeds that failed once, with a line on the cause.
REGRESSIONS: dict[int, str] = {
    3: "a former primary under a new id was not adopted while a replica was replaced",
}

#: The same, drawn from the first kinds of faults.
FIRST_REGRESSIONS: dict[int, str] = {
    11: "the stand-in committed a transaction at a database that had lost the lead",
    20: "a stream to control neither ended nor could be cancelled after a pause",
    35: "SIGHUP ended an instance that was still starting",
}

#: The same over borrowed connections.
BORROWING_REGRESSIONS: dict[int, str] = {
    612: "a holder that was paused ran a commit after its caller had been told that it is in doubt",
}


@pytest.mark.parametrize(
    ("seed", "seconds", "kinds"),
    [
        (1, SHORT_SECONDS, KINDS),
        *((seed, REGRESSION_SECONDS, KINDS) for seed in REGRESSIONS),
        *((seed, SHORT_SECONDS, FIRST_KINDS) for seed in FIRST_REGRESSIONS),
        (7, SHORT_SECONDS, ALL_KINDS),
        (9, SHORT_SECONDS, START_KINDS),
    ],
)
def test_promises_hold_under_faults(seed, seconds, kinds, tmp_path):
    """Guards against lost, repeated or untrue answers while faults come in series and overlap."""
    history = run_seed(seed, seconds, f"78.{seed}", tmp_path, kinds=kinds)
    assert not history.violations
    assert all(history.kept[service] for service in (SERVICE, OTHER_SERVICE))
    assert history.reads


@pytest.mark.parametrize("seed", [2, 3, *BORROWING_REGRESSIONS])
def test_promises_hold_over_borrowed_connections(seed, tmp_path):
    """Guards against untrue answers when a holder is killed, paused or cut off."""
    network = f"79.{seed % 250}"
    kinds = FIRST_KINDS if seed in BORROWING_REGRESSIONS else KINDS
    history = run_seed(seed, SHORT_SECONDS, network, tmp_path, SCARCE_CONNECTIONS, kinds)
    assert not history.violations
    assert history.kept
    lines = [line for log in tmp_path.glob("log-*") for line in log.read_text().splitlines()]
    answered = [json.loads(line) for line in lines if '"statement-answered"' in line]
    assert any(line["holder"] and line["outcome"] == "done" for line in answered)


def _primary(writes: list[str]) -> StandinDatabase:
    platform = StandinPlatform("127.0.0.1:1", "service", [])
    return StandinDatabase(
        platform, "i-0", "127.0.0.1:2", is_primary=True, service="service", writes=writes
    )


@pytest.mark.parametrize(
    ("writes", "kept", "promised", "expected"),
    [
        (["a"], {"a", "b"}, set(), "is lost"),
        (["a", "a"], {"a"}, set(), "took effect 2 times"),
        (["a"], set(), {"a"}, "said not to be"),
        (["a", "b"], {"a"}, {"c"}, ""),
    ],
)
def test_broken_promises_are_found(writes, kept, promised, expected):
    """Guards against a checker that finds nothing."""
    history = History(kept={"service": kept}, promised=promised)
    history.check_log(_primary(writes))
    assert bool(history.violations) is bool(expected)
    assert all(expected in violation for violation in history.violations)


def test_promotion_without_an_acknowledged_write_is_found():
    """Guards against a checker that looks only at the last primary."""
    history = History(kept={"service": {"a", "b"}})
    history.check_promoted(_primary(["a", "b"]))
    assert not history.violations
    history.check_promoted(_primary(["a"]))
    assert history.violations


@pytest.mark.parametrize(
    ("requests", "is_broken"),
    [
        ([("s", "one", 2), ("s", "one", 2), ("s", "two", 3)], False),
        ([("s", "two", 3), ("t", "one", 2)], False),
        ([("s", "two", 3), ("s", "one", 2)], True),
        ([("s", "one", 2), ("t", "two", 2)], True),
    ],
)
def test_promotions_by_two_leaders_are_found(requests, is_broken):
    """Guards against a checker that does not see orders of a former leader."""
    history = History()
    for request in requests:
        history.promotion_requested(*request)
    assert bool(history.violations) is is_broken


def test_stale_reads_and_configurations_are_found():
    """Guards against a checker that finds nothing."""
    history = History()
    history.read("item", "3", 4, "strict")
    history.configuration_read(7, 8)
    assert len(history.violations) == 2


@pytest.mark.parametrize(
    ("answer", "is_mixed"),
    [
        (["ROW x", "ROW r", "COMPLETE i-0.r", "READY I 1.1"], False),
        (["ERROR BUSY -", "READY I 1.1"], False),
        (["ROW x", "ROW q", "COMPLETE i-0.q", "READY I 1.1"], True),
        (["ROW x", "ROW q", "COMPLETE i-0.r", "READY I 1.1"], True),
        (["ROW x", "COMPLETE i-0.r", "READY I 1.1"], True),
        (["COMPLETE -", "READY I 1.1"], True),
    ],
)
def test_answers_of_other_statements_are_found(answer, is_mixed):
    """Guards against a checker that finds nothing."""
    history = History()
    history.answered(Run("r", "READ item0", {}, "", False), answer)
    assert bool(history.violations) is is_mixed


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, ""),
        ({"text": "WRITE item0 1"}, "UNASKED"),
        ({"shape": "WRITE q"}, "UNASKED"),
        ({"request": "s"}, "UNASKED"),
        ({"values": {"v": " 1"}}, "PINNED"),
        ({"is_in_transaction": True}, "PINNED"),
    ],
)
def test_statements_that_ran_otherwise_are_found(changes, expected):
    """Guards against a checker that finds nothing."""
    sent = Run("r", "WRITE item0 1\r", {"v": " 1\r"}, "", False)
    history, database = History(), _primary([])
    history.sent(sent)
    database.executed.append(replace(sent, **changes))
    history.check_runs(database)
    assert [violation.partition(":")[0] for violation in history.violations] == (
        [expected] if expected else []
    )


def test_rows_that_lost_characters_are_found():
    """Guards against a checker that finds nothing."""
    history = History(texts=ODD_TEXTS)
    history.read("item0", history.data(1), 1, "strict")
    assert not history.violations
    history.read("item0", history.data(1).rstrip(), 1, "strict")
    assert len(history.violations) == 1

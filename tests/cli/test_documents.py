"""Tests of the commands that handle documents."""

from __future__ import annotations

import json
import time

import grpc
import pytest

from hibiscuspoint.cli.waiting import POLL_SECONDS, SETTLE_SECONDS
from hibiscuspoint.document import Document, diff
from hibiscuspoint.telemetry.samples import GroupCounters, Sample, SampleFile
from hibiscuspoint.wire import peer_pb2
from tests.builders import document
from tests.cli.environment import error

UNAVAILABLE = grpc.StatusCode.UNAVAILABLE


@pytest.fixture
def file(tmp_path):
    """Return a file with document 1 of ``trial``."""
    path = tmp_path / "trial.toml"
    path.write_text(document().text)
    return path


def test_apply_is_safe_to_repeat_and_survives_a_lost_reply(run, trial, file):
    """Guards against a refused repetition and against giving up after one lost reply."""
    trial.answers["Submit"] = [UNAVAILABLE, peer_pb2.SubmitReply(error=error("HP1003"))]
    assert run("apply", file, connect=trial)[0] == 0
    status, out, _ = run("apply", file, "--output", "json", connect=trial)
    assert status == 0
    assert json.loads(out)["digest"] == document().digest
    assert len(trial.sent("Submit")) == 4


def test_conflict_has_its_own_exit_status(run, trial, file):
    """Guards against a script that takes a conflict for a failure that it may repeat."""
    trial.accept(document(limits={"queue_length": 7}).text)
    status, out, err = run("apply", file, connect=trial)
    assert (status, out) == (4, "")
    assert err.startswith("HP1002: ")
    assert "hibiscuspoint diff" in err
    assert "verdict: NOT_RUN" in err


def test_lost_reply_of_every_instance_is_an_unknown_outcome(run, trial, file):
    """Guards against NOT_RUN for a document that may have been accepted."""
    trial.answers["Submit"] = [UNAVAILABLE] * 100
    status, _, err = run("apply", file, "--timeout", "0.5", connect=trial)
    assert status == 3
    assert "verdict: MAY_HAVE_RUN" in err


def test_apply_waits_for_every_live_instance(run, trial, file):
    """Guards against success while a live instance still follows the previous document."""
    trial.reported = {"ba-1": [1], "ba-2": [0, 0, 1], "gone-3": [0]}
    status, out, err = run("apply", file, "--wait", connect=trial)
    assert status == 0
    assert "1 of 2 instances report document 1, missing: ba-2" in err
    assert "2 of 2 instances" in err
    assert "in force on every live instance" in out


def test_wait_does_not_trust_a_leader_that_was_just_elected(run, trial, file):
    """Guards against success while the new leader knows only the first entries that reported."""
    trial.terms = [1, 1, 2]
    trial.reported = {"ba-1": [1], "ba-2": [1, 1, 1, 0, 1]}
    started = time.monotonic()
    assert run("apply", file, "--wait", connect=trial)[0] == 0
    assert time.monotonic() - started >= SETTLE_SECONDS + 4 * POLL_SECONDS


def test_wait_that_ends_early_is_not_a_success(run, trial, file):
    """Guards against exit status 0 for a document that is not in force everywhere."""
    trial.reported = {"ba-2": [0]}
    status, _, err = run("apply", file, "--wait", "--wait-seconds", "0.3", connect=trial)
    assert status == 3
    assert "HP3005" in err and "missing: ba-2" in err


def test_invalid_file_is_refused_before_any_call(run, trial, tmp_path):
    """Guards against a traceback, and against sending what the leader must refuse."""
    path = tmp_path / "bad.toml"
    path.write_text("number = 'one'\n")
    for command in ("check", "apply", "diff"):
        status, _, err = run(command, path, connect=trial)
        assert status == 2
        assert "environment: is required" in err and "HP1001" in err
    assert trial.calls == []


def test_diff_show_and_history_read_the_document_in_force(run, trial, file, tmp_path):
    """Guards against a comparison with anything but the document in force."""
    trial.accept(document(group=[{"name": "ledger", "holders": 3}]).text)
    status, out, _ = run("diff", file, connect=trial)
    assert (status, out) == (0, "group.ledger.holders: 3 -> 2\n")
    trial.accept(document(number=2).text)
    assert "number: 2 -> 1" in run("diff", file, connect=trial)[1]
    assert run("show", connect=trial)[1].startswith('environment = "trial"\nnumber = 2')
    assert "number = 1" in run("show", "--number", "1", connect=trial)[1]
    assert run("show", "--number", "9", connect=trial)[0] == 2
    assert run("history", connect=trial)[1].splitlines()[1].startswith("2 ")


def test_document_that_does_not_match_its_digest_is_refused(run, trial, file):
    """Guards against promoting or comparing a text that was never accepted."""
    trial.accept(document().text)
    trial.history[0].document = document(limits={"queue_length": 7}).text
    status, out, err = run("show", connect=trial)
    assert (status, out) == (1, "")
    assert "HP3006" in err and "verdict: NOT_RUN" in err


PROMOTION = {"minimum_age_seconds": 60, "max_burn_rate": 2.0}
LEVELS = [{"name": "ledger", "service_levels": {"write_availability": 0.9}}]


def _samples(path, bad: float, age: float = 100):
    now = time.time()
    for at, total in ((now - age - 200, 0.0), (now - age, 100.0)):
        counters = GroupCounters(writes_good=total * (1 - bad), writes_total=total)
        sample = Sample(at=at, source="127.0.0.1:1", groups={"ledger": counters})
        SampleFile(path).append([sample])


def _promote(run, trial, production, *more):
    return run(
        *("promote", "--from", "trial", "--to", "production"),
        *("--from-connect", trial.address, "--to-connect", production.address, *more),
    )


def test_promotion_takes_the_document_in_force_and_may_be_repeated(
    run, trial, production, tmp_path
):
    """Guards against production running another document than trial, or a second number."""
    _samples(tmp_path / "s", bad=0.1)
    production.accept(document(environment="production", number=6).text)
    source = trial.accept(document(group=LEVELS, promotion=PROMOTION).text, age=90)
    for _ in range(2):
        status, _, err = _promote(run, trial, production, "--samples", tmp_path / "s", "--wait")
        assert status == 0, err
    assert production.history[0].number == 7
    promoted = Document.from_text(production.history[0].document)
    assert [change.key for change in diff(source, promoted)] == ["environment", "number"]


@pytest.mark.parametrize(
    ("age", "bad", "sample_age", "reported", "reason"),
    [
        (30, 0.0, 100, 1, "60 s are needed"),
        (90, 0.3, 100, 1, "ledger write_availability burns at 3.00, above 2"),
        (90, 0.0, 4_000, 1, "no samples of the last hour"),
        (90, 0.0, 100, 0, "not in force on ba-1"),
    ],
)
def test_promotion_is_refused(
    run, trial, production, tmp_path, age, bad, sample_age, reported, reason
):
    """Guards against a document in production that trial has not proved."""
    _samples(tmp_path / "s", bad, sample_age)
    trial.accept(document(group=LEVELS, promotion=PROMOTION).text, age=age)
    trial.reported = {"ba-1": [reported]}
    status, _, err = _promote(run, trial, production, "--samples", tmp_path / "s")
    assert status == 1
    assert "HP3004" in err and reason in err
    assert production.sent("Submit") == []


def test_promotion_needs_samples_and_the_named_environments(run, trial, production):
    """Guards against an unchecked promotion and against swapped addresses."""
    trial.accept(document(group=LEVELS).text)
    status, _, err = _promote(run, trial, production)
    assert status == 2 and "--samples" in err
    production.accept(document(environment="production").text)
    status, _, err = _promote(run, production, trial)
    assert status == 2 and "belong to 'production', not to 'trial'" in err
    assert production.sent("Submit") == trial.sent("Submit") == []

"""Tests of ``hibiscuspoint exec``."""

from __future__ import annotations

import json

import grpc
import pytest

from hibiscuspoint.wire import caller_pb2, common_pb2
from tests.cli.environment import error

READ = ("exec", "--group", "ledger", "SELECT 1")
WRITE = ("exec", "--group", "ledger", "UPDATE t SET a = ?", "--write")


def test_read_states_its_age_and_write_states_none(run, trial):
    """Guards against a write that is sent as a read, and against a lost maximum age."""
    status, out, _ = run(*READ, "--max-age-ms", "250", "--output", "json", connect=trial)
    assert status == 0
    assert json.loads(out)["results"][0]["rows"] == [[1, 2], [3, 4]]
    run(*READ, connect=trial)
    run(*WRITE, "--parameter", "7", "--parameter", "x", "--parameter", '"8"', connect=trial)
    aged, fresh, write = trial.sent("Execute")
    assert aged.read.max_age_ms == 250
    assert fresh.HasField("read") and not write.HasField("read")
    kinds = [value.WhichOneof("kind") for value in write.statements[0].parameters]
    assert kinds == ["integer", "text", "text"]


def test_session_file_carries_the_token(run, trial, tmp_path):
    """Guards against a read that misses the caller's own write."""
    path = tmp_path / "session"
    trial.token = b"marks"
    run(*WRITE, "--session-file", path, connect=trial)
    run(*READ, "--session-file", path, connect=trial)
    assert [request.token for request in trial.sent("Execute")] == [b"", b"marks"]
    assert path.stat().st_mode & 0o077 == 0


def test_token_that_cannot_be_saved_does_not_hide_the_outcome(run, trial, tmp_path):
    """Guards against NOT_RUN for a write that ran."""
    trial.token = b"marks"
    path = tmp_path / "absent" / "session"
    status, out, err = run(*WRITE, "--session-file", path, connect=trial)
    assert status == 1
    assert "served by ledger-2" in out
    assert "HP3007" in err and "verdict: DONE" in err


def test_transaction_file_is_one_request(run, trial, tmp_path):
    """Guards against statements of one transaction that are sent one by one."""
    path = tmp_path / "transfer.sql"
    path.write_text("-- transfer\nUPDATE a\n\nUPDATE b\n")
    assert run("exec", "--group", "ledger", "--transaction", path, "--write", connect=trial)[0] == 0
    (request,) = trial.sent("Execute")
    assert [statement.sql for statement in request.statements] == ["UPDATE a", "UPDATE b"]


def test_repeated_id_keeps_its_issue_time(run, trial):
    """Guards against a repeated id that looks newer than its first request."""
    _, _, err = run(*WRITE, "--id", "new", connect=trial)
    run(*WRITE, "--id", err.split()[-1], connect=trial)
    first, second = (request.idempotency for request in trial.sent("Execute"))
    assert first == second
    assert first.issued_at_ms > 1_600_000_000_000


def test_lost_reply_may_have_run_and_is_not_sent_again(run, trial):
    """Guards against a write that runs twice."""
    trial.answers["Execute"] = [grpc.StatusCode.UNAVAILABLE]
    both = f"{trial.address},{trial.address}"
    status, _, err = run(*WRITE, "--connect", both)
    assert status == 3
    assert "verdict: MAY_HAVE_RUN" in err
    assert len(trial.sent("Execute")) == 1


def test_unreachable_instance_is_passed_over(run, trial):
    """Guards against a failure while another named instance works."""
    assert run(*WRITE, "--connect", f"127.0.0.1:1,{trial.address}")[0] == 0
    status, _, err = run(*WRITE, "--connect", "127.0.0.1:1", "--timeout", "0.2")
    assert status == 1
    assert "HP3002" in err and "verdict: NOT_RUN" in err


@pytest.mark.parametrize(
    ("code", "verdict", "status"),
    [
        ("HP2005", common_pb2.NOT_RUN, 1),
        ("HP2008", common_pb2.DONE, 1),
        ("HP2007", common_pb2.MAY_HAVE_RUN, 3),
        ("HP2009", common_pb2.NOT_RUN, 4),
    ],
)
def test_exit_status_follows_the_verdict(run, trial, code, verdict, status):
    """Guards against a script that repeats a request which may have run."""
    reply = caller_pb2.ExecuteReply(error=error(code), verdict=verdict)
    trial.answers["Execute"] = [reply]
    found, _, err = run(*WRITE, connect=trial)
    assert found == status
    assert f"{code}: It failed." in err
    assert f"verdict: {common_pb2.Verdict.Name(verdict)}" in err


@pytest.mark.parametrize("fault", ["call_id", "row", "digest", "results", "verdict"])
def test_incomplete_reply_is_refused(run, trial, fault):
    """Guards against an answer of another request, and against missing rows."""
    default = trial._execute

    def damaged(request):
        reply = default(request)
        if fault == "call_id":
            reply.call_id += 1
        elif fault == "row":
            del reply.results[0].rows[1]
        elif fault == "digest":
            reply.results[0].digest ^= 1
        elif fault == "results":
            del reply.results[:]
        else:
            reply.verdict = common_pb2.VERDICT_UNSPECIFIED
        return reply

    trial._execute = damaged
    status, out, err = run(*READ, connect=trial)
    assert (status, out) == (3, "")
    assert "HP3006" in err


@pytest.mark.parametrize("with_counts", [True, False])
def test_replay_without_rows_prints_why(run, trial, with_counts):
    """Guards against a missing reason, and against a replay that counts as incomplete (D8)."""
    default = trial._execute

    def replay(request):
        reply = default(request)
        reply.replayed = reply.without_rows = True
        del reply.results[0].rows[:], reply.results[0].columns[:]
        if not with_counts:
            del reply.results[:]
        return reply

    trial._execute = replay
    status, out, _ = run(*WRITE, connect=trial)
    assert status == 0
    assert "their rows were not recorded" in out
    assert ("2 rows, not recorded" in out) == with_counts
    data = json.loads(run(*WRITE, "--output", "json", connect=trial)[1])
    assert data["without_rows"] and data["replayed"]
    assert [result["row_count"] for result in data["results"]] == [2] * with_counts


@pytest.mark.parametrize("fault", ["rows", "first_run", "unmarked", "results"])
def test_other_reply_without_rows_is_refused(run, trial, fault):
    """Guards against missing rows that pass for a replay whose rows were not recorded."""
    default = trial._execute

    def damaged(request):
        reply = default(request)
        reply.replayed = fault != "first_run"
        reply.without_rows = fault != "unmarked"
        if fault == "results":
            reply.results.add()
        if fault != "rows":
            del reply.results[0].rows[:]
        return reply

    trial._execute = damaged
    status, out, err = run(*WRITE, connect=trial)
    assert (status, out) == (3, "")
    assert "HP3006" in err


@pytest.mark.parametrize(
    "arguments",
    [
        ("exec", "--group", "ledger"),
        (*READ, "--transaction", "f"),
        (*WRITE, "--max-age-ms", "5"),
        (*READ, "--id", "new"),
        (*WRITE, "--id", "7"),
        (*WRITE, "--id", "f47ac10b-58cc-4372-a567-0e02b2c3d479"),
        (*READ, "--max-age-ms", "-1"),
    ],
)
def test_contradictory_options_send_nothing(run, trial, arguments):
    """Guards against a request whose meaning was guessed."""
    status, _, err = run(*arguments, connect=trial)
    assert status == 2
    assert "HP3001" in err
    assert trial.calls == []

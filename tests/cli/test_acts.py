"""Tests of planned acts and of the status."""

from __future__ import annotations

import json

import grpc
import trustme

from hibiscuspoint.cli.main import main
from hibiscuspoint.security import TlsFiles, Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.wire import peer_pb2
from tests.cli.environment import Environment, error


def test_acts_repeat_until_finished(run, trial):
    """Guards against a drain or repair that is reported as finished too early."""
    running = peer_pb2.ActReply(accepted=True, progress="2 transactions are open")
    for method, command in (("Drain", "drain"), ("Repair", "repair")):
        trial.answers[method] = [running, grpc.StatusCode.UNAVAILABLE, running]
        status, out, err = run(command, "ba-2", "--wait", connect=trial)
        assert (status, out) == (0, "Finished: done\n")
        assert "2 transactions are open" in err
        assert len(trial.sent(method)) == 4


def test_act_without_wait_says_that_it_is_not_finished(run, trial):
    """Guards against an operator who stops a machine that still has work."""
    trial.answers["Drain"] = [peer_pb2.ActReply(accepted=True, progress="1 request")]
    assert run("drain", "ba-2", connect=trial)[1] == "Accepted: 1 request\n"


def test_switchover_is_not_sent_twice(run, trial):
    """Guards against a second move of the primary after a lost reply."""
    trial.answers["Switchover"] = [grpc.StatusCode.UNAVAILABLE]
    status, _, err = run("switchover", "ledger", connect=trial)
    assert status == 3
    assert "HP3003" in err
    assert len(trial.sent("Switchover")) == 1


def test_switchover_waits_for_the_new_primary(run, trial):
    """Guards against success before the primary moved, and against a needless move."""
    trial.primaries = ["ledger-1", "ledger-1", "", "ledger-3"]
    status, out, _ = run("switchover", "ledger", "--to", "ledger-3", "--wait", connect=trial)
    assert (status, out) == (0, "ledger: ledger-3 is primary.\n")
    assert run("switchover", "ledger", "--to", "ledger-3", connect=trial)[0] == 0
    assert len(trial.sent("Switchover")) == 1
    status, _, err = run("switchover", "mill", connect=trial)
    assert status == 2 and "known groups: ledger" in err


def test_refused_act_prints_code_hint_and_verdict(run, trial):
    """Guards against an error of a later version that this version hides."""
    refusal = error("HP1999", "The group is being repaired.")
    refusal.hint = "Wait for the repair."
    trial.answers["Repair"] = [peer_pb2.ActReply(error=refusal)] * 2
    status, _, err = run("repair", "ba-2", connect=trial)
    assert status == 3
    assert err == (
        "HP1999: The group is being repaired.\nhint: Wait for the repair.\n"
        "verdict: MAY_HAVE_RUN\n"
    )
    _, _, err = run("repair", "ba-2", "--output", "json", connect=trial)
    assert json.loads(err)["code"] == "HP1999"


def test_mutual_tls_of_an_operator(tmp_path, capsys):
    """Guards against TLS options that are not used."""
    ca = trustme.CA()
    issued = ca.issue_cert("127.0.0.1")
    names = ("ca", "certificate", "key")
    blobs = (ca.cert_pem, issued.cert_chain_pems[0], issued.private_key_pem)
    paths = {name: tmp_path / f"{name}.pem" for name in names}
    for name, blob in zip(names, blobs, strict=True):
        blob.write_to_path(paths[name])
    files = TlsFiles(paths["certificate"], paths["key"], paths["ca"])
    options = [text for name in names for text in (f"--tls-{name}", str(paths[name]))]
    with Environment("trial", Transport(TlsMode.MUTUAL, files, 65_536)) as trial:
        arguments = ["status", "--connect", trial.address, "--timeout", "1"]
        assert main([*arguments, *options]) == 0
        assert main([*arguments, *options[:2]]) == 1
        assert main([*arguments, "--plain-text"]) == 1


def test_status_shows_targets_and_instances(run, trial):
    """Guards against a state that an operator cannot see."""
    status, out, _ = run("status", connect=trial)
    assert status == 0
    for part in ("environment trial", "leader ba-1", "ledger-1", "ba-1", "steady"):
        assert part in out
    assert json.loads(run("status", "--output", "json", connect=trial)[1])["leader"] == "ba-1"

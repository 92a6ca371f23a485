"""The path of a new operator through the command line, with real processes."""

from __future__ import annotations

import contextlib
import io
import json
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest
import tomli_w
import uuid6

from hibiscuspoint.cli.main import main
from hibiscuspoint.load.layout import Layout
from tests.system.trial import DEADLINE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from hibiscuspoint.load.topology import Topology

GROUP = "group-1"
CALL_TIMEOUT_S = 60
LEVELS = {
    "write_availability": 0.5,
    "read_latency_ms": 10_000,
    "read_in_time": 0.5,
    "freshness": 0.5,
}


class Operator:
    """Calls the command line for one environment."""

    def __init__(self, environment: str, topology: Topology, directory: Path) -> None:
        self.topology = topology
        self.directory = directory
        self.connect = ",".join(topology.addresses)
        self.environment = environment

    def arguments(self, *arguments: object, connect: str | None = None) -> list[str]:
        """Return the command line without the program."""
        shared = ["--connect", connect or self.connect, "--plain-text", "--timeout", "30"]
        return [*map(str, arguments), *shared]

    def run(self, *arguments: object, status: int = 0, connect: str | None = None) -> str:
        """Run a command and return its output; the exit status must be the expected one.

        It runs in this process, because the start of 40 interpreters would take longest.
        """
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            returned = main(self.arguments(*arguments, connect=connect))
        assert returned == status, (arguments, out.getvalue(), err.getvalue())
        return out.getvalue() if status == 0 else err.getvalue()

    def json(self, *arguments: object) -> dict:
        """Run a command and return its JSON output."""
        return json.loads(self.run(*arguments, "--output", "json"))

    def document(self, number: int, **group: object) -> Path:
        """Write a document."""
        content = {
            "environment": self.environment,
            "number": number,
            "group": [{"name": GROUP, "members": 3, "service_levels": LEVELS, **group}],
        }
        path = self.directory / f"{self.environment}-{number}.toml"
        path.write_text(tomli_w.dumps(content), encoding="utf-8")
        return path

    def group(self) -> dict:
        """Return the status of the group."""
        return self.json("status")["groups"][0]


@pytest.fixture
def operators(launch: Callable[[Layout], Topology], tmp_path: Path) -> tuple[Operator, Operator]:
    """Return the operators of trial, with three instances, and of production, with one."""
    found = []
    for environment, entries in (("trial", 3), ("production", 1)):
        options = {"node": {"environment": environment}}
        topology = launch(
            Layout(entries=entries, control=entries, has_latency=False, node_options=options)
        )
        topology.launch()
        found.append(Operator(environment, topology, tmp_path))
    return found[0], found[1]


def test_path_of_a_new_operator(operators):
    """Guards against a command that answers differently from a daemon than from its stand-in."""
    trial, production = operators
    _apply_documents(trial)
    _use_sessions(trial)
    _move_primary(trial)
    _promote(trial, production)
    _run_load(production)
    _drain(trial)
    _repair(trial)


def _apply_documents(trial: Operator) -> None:
    first = trial.document(1)
    assert "valid document 1" in trial.run("check", first)
    assert "no document yet" in trial.run("show", status=2)
    # Repeating a submission stands for the operator who lost the reply.
    for _ in range(2):
        assert "in force on every live instance" in trial.run("apply", first, "--wait")
    other = trial.document(1, holders=3)
    assert "HP1002" in trial.run("apply", other, status=4)
    second = trial.document(2, holders=3)
    assert "holders" in trial.run("diff", second)
    trial.run("apply", second, "--wait")
    assert trial.run("show") == second.read_text(encoding="utf-8").rstrip("\n") + "\n"
    assert [int(entry["number"]) for entry in trial.json("history")] == [2, 1]


def _use_sessions(trial: Operator) -> None:
    def execute(*arguments: object, **options: object) -> str:
        return trial.run("exec", "--group", GROUP, *arguments, **options)

    session = ("--session-file", trial.directory / "session.bin")
    execute("CREATE TABLE account (id INTEGER PRIMARY KEY, amount INTEGER)", "--write", *session)
    insert = ("INSERT INTO account VALUES (1, ?)", "--write", *session)
    identity = ("--id", uuid6.uuid7())
    assert "earlier request" not in execute(*insert, *identity, "--parameter", 100)
    assert "earlier request" in execute(*insert, *identity, "--parameter", 100)
    assert "HP2009" in execute(*insert, *identity, "--parameter", 7, status=4)
    statements = trial.directory / "transfer.sql"
    statements.write_text("INSERT INTO account VALUES (2, 0)\nUPDATE account SET amount = 50\n")
    execute("--transaction", statements, "--write", "--id", "new", *session)
    select = "SELECT id, amount FROM account ORDER BY id"
    for address in trial.topology.addresses:
        for age in (0, 1000):
            rows = execute(select, "--max-age-ms", age, *session, connect=address)
            assert rows.splitlines()[1:3] == ["1   50", "2   50"]
    assert "HP2001" in trial.run("exec", "--group", "absent", "SELECT 1", status=2)
    assert "HP2008" in execute("SELECT * FROM absent", status=1)


def _show_connections(trial: Operator) -> None:
    """Look until the status shows a connection that a statement opened.

    A control leader that was elected a moment ago has no reports, and a holder that had no contact
    for the duration of its share has closed its connections.
    """
    deadline = time.monotonic() + DEADLINE_S
    while True:
        trial.run("exec", "--group", GROUP, "SELECT id FROM account")
        targets = trial.group()["targets"]
        shares = [share for target in targets for share in target["shares"]]
        assert {share["instance"] for share in shares} == set(trial.topology.instances)
        if any(share["open_connections"] for share in shares):
            return
        assert time.monotonic() < deadline, f"no open connection in {shares}"


def _move_primary(trial: Operator) -> None:
    _show_connections(trial)
    before = trial.group()
    wanted = next(t["target"] for t in before["targets"] if t["target"] != before["primary"])
    assert f"{wanted} is primary" in trial.run("switchover", GROUP, "--to", wanted, "--wait")
    assert trial.group()["primary"] == wanted
    assert "HP2001" in trial.run("switchover", GROUP, "--to", "absent", status=2)
    watching = trial.arguments("status", "--watch", "--interval", "0.1")
    watch = subprocess.Popen(
        [sys.executable, "-m", "hibiscuspoint.cli", *watching], stdout=subprocess.PIPE, text=True
    )
    for _ in range(2):
        while not watch.stdout.readline().startswith("---"):
            assert watch.poll() is None
    watch.send_signal(signal.SIGINT)
    watch.communicate(timeout=CALL_TIMEOUT_S)
    assert watch.returncode == 130


def _promote(trial: Operator, production: Operator) -> None:
    http = ",".join(plan.http for plan in trial.topology.instances.values())
    samples = trial.directory / "trial.jsonl"
    for _ in range(2):
        burn = trial.json("report", "burn", "--samples", samples, "--scrape", http)
    assert {level["level"] for level in burn["levels"]} == {
        "write_availability",
        "read_in_time",
        "freshness",
    }
    path = ("--from", "trial", "--to", "production", "--samples", samples, "--wait")
    ends = ("--from-connect", trial.connect, "--to-connect", production.connect)
    promoted = trial.run("promote", *path, *ends)
    assert promoted.startswith("Document 1 of production is in force")
    # A repeated promotion submits the same document and creates no second one.
    assert trial.run("promote", *path, *ends) == promoted
    shown = production.run("show")
    expected = trial.document(2, holders=3).read_text().replace('"trial"', '"production"')
    assert shown.strip() == expected.replace("number = 2", "number = 1").strip()


def _run_load(production: Operator) -> None:
    experiment = {
        "name": "path",
        "system": {"entries": production.topology.addresses, "group_names": [GROUP]},
        "load": {"duration_s": 0.5, "sessions": 2},
    }
    path = production.directory / "load.toml"
    path.write_text(tomli_w.dumps(experiment), encoding="utf-8")
    summary = production.json("load", path)
    assert summary["violations"] == 0
    assert summary["outcomes"]["ok"] > 0


def _drain(trial: Operator) -> None:
    primary = trial.group()["primary"]
    assert trial.run("drain", primary, "--wait").startswith("Finished")
    left = next(t for t in trial.group()["targets"] if t["target"] == primary)
    assert left["leaving"]
    assert not left["primary"]
    assert not any(share["demand"] for share in left["shares"])
    assert "HP2001" in trial.run("drain", "absent", status=2)


def _repair(trial: Operator) -> None:
    status = trial.json("status")
    leader = status["leader"]
    lost = next(name for name in trial.topology.instances if name != leader)
    assert "HP2001" in trial.run("repair", leader, status=2)
    process = trial.topology.process(lost)
    process.kill()
    trial.topology.wipe(lost)
    process.start()
    assert trial.run("repair", lost, "--wait").startswith("Finished: done")
    assert trial.run("drain", lost, "--wait").startswith("Finished")
    address = trial.topology.instances[lost].address
    refused = trial.run("exec", "--group", GROUP, "SELECT 1", status=1, connect=address)
    assert "HP2003" in refused
    assert "verdict: NOT_RUN" in refused

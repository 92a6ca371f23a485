"""Tests of the command line as a whole."""

from __future__ import annotations

import subprocess

import pytest
from prometheus_client import start_http_server

from hibiscuspoint.cli.command import commands
from hibiscuspoint.cli.main import main
from hibiscuspoint.telemetry import Metrics
from tests.builders import document


def test_every_command_has_help_with_examples(capsys):
    """Guards against a command that an operator cannot look up."""
    assert set(commands.names) >= {
        *("check", "diff", "apply", "promote", "history", "show", "status", "drain"),
        *("switchover", "repair", "exec", "report", "load", "completion"),
    }
    for name in commands.names:
        assert main([name, "--help"]) == 0
        assert "examples:\n  hibiscuspoint" in capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["fly"],
        ["status"],
        ["status", "--connect", "localhost:1"],
        ["status", "--connect", "127.0.0.1:1", "--plain-text", "--tls-ca", "ca.pem"],
        ["status", "--connect", "127.0.0.1:1", "--tls-certificate", "c.pem"],
        ["status", "--connect", "127.0.0.1:1", "--tls-ca", "/absent/ca.pem"],
        ["history", "--limit", "-1"],
        ["check", "/absent"],
        ["check", "/"],
        ["report", "burn", "--samples", "/absent/file", "--document", "/absent"],
    ],
)
def test_mistakes_print_code_and_hint(capsys, arguments):
    """Guards against a traceback for a mistake of the operator."""
    assert main(arguments) == 2
    err = capsys.readouterr().err
    assert "HP3001: " in err or "HP1001: " in err
    assert "\nhint: " in err
    assert "Traceback" not in err


@pytest.mark.parametrize("shell", ["bash", "zsh"])
def test_completion_names_every_command(capsys, shell):
    """Guards against a completion script that a new command is missing from."""
    assert main(["completion", shell]) == 0
    script = capsys.readouterr().out
    assert all(name in script for name in commands.names)
    if shell == "bash":
        subprocess.run(["bash", "-n"], input=script, text=True, check=True)


def test_report_scrapes_entries_and_keeps_samples(run, tmp_path):
    """Guards against a report that ends when one of the entries is down."""
    metrics = Metrics()
    metrics.requests.labels("ledger", "write", "DONE", "").inc(5)
    server, thread = start_http_server(0, "127.0.0.1", metrics.registry)
    levels = {"write_availability": 0.9}
    path = tmp_path / "trial.toml"
    path.write_text(document(group=[{"name": "ledger", "service_levels": levels}]).text)
    samples, page = tmp_path / "samples", tmp_path / "burn.html"
    arguments = ("report", "burn", "--samples", samples, "--document", path, "--html", page)
    scrape = f"127.0.0.1:{server.server_address[1]},127.0.0.1:1"
    for _ in range(2):
        status, out, err = run(*arguments, "--scrape", scrape)
        assert status == 0
        assert "No sample of 127.0.0.1:1" in err
        assert "write_availability" in out
    server.shutdown()
    thread.join()
    server.server_close()
    assert len(samples.read_text().splitlines()) == 2
    assert "<svg" in page.read_text()
    assert run(*arguments, "--scrape", "127.0.0.1:1")[0] == 1

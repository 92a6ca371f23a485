"""Tests of the generated reference pages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from hibiscuspoint.telemetry.docs import main, pages

ROOT = Path(__file__).parents[2]


def test_pages_are_current():
    """Guards against reference pages that differ from the code.

    A process of its own sees the catalogue only, whatever other tests imported.
    """
    command = [sys.executable, "-m", "hibiscuspoint.telemetry.docs", "docs", "--check"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert (done.returncode, done.stderr) == (0, "")


def test_check_finds_a_changed_page(tmp_path, capsys):
    """Guards against a check that passes for any page."""
    assert main([str(tmp_path)]) == 0
    assert main([str(tmp_path), "--check"]) == 0
    (tmp_path / "events.md").write_text("old")
    assert main([str(tmp_path), "--check"]) == 1
    assert "events.md is not current" in capsys.readouterr().err


def test_every_key_has_a_description():
    """Guards against a key whose effect and default are stated nowhere."""
    rows = [line for line in pages()["configuration.md"].splitlines() if line.startswith("| `")]
    assert len(rows) > 30
    for row in rows:
        _, _, kind, _, default, _, effect, _ = (cell.strip() for cell in row.split("|"))
        assert kind and default and effect.endswith(".")

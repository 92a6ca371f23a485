"""Tests of child processes and their addresses."""

from __future__ import annotations

import subprocess
import sys
import textwrap

import psutil
import pytest

from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.load.process import OwnedProcess, ProcessExitedError

SLEEP = ("timeit", "-n", "1", "-r", "1", "import time; time.sleep(60)")


def test_kill_and_start_again(tmp_path):
    """A killed process must be gone, and must not count as one that ended by itself."""
    process = OwnedProcess("child", SLEEP, tmp_path)
    process.start()
    first = process.pid
    process.check()
    process.kill()
    process.check()
    assert not psutil.pid_exists(first)
    process.start()
    assert process.pid != first
    process.kill()


def test_process_that_ended_by_itself_is_reported(tmp_path):
    """A daemon that ends at start must show its message instead of a timeout."""
    process = OwnedProcess("child", ("no_such_module",), tmp_path)
    process.start()
    process._require().wait()
    with pytest.raises(ProcessExitedError, match="No module named no_such_module"):
        process.check()


def test_children_end_with_an_interpreter_that_closes_nothing(tmp_path):
    """A launcher that dies of an exception must leave no process behind."""
    script = f"""
        from pathlib import Path
        from hibiscuspoint.load.process import OwnedProcess
        process = OwnedProcess("child", {SLEEP!r}, Path({str(tmp_path)!r}))
        process.start()
        print(process.pid, flush=True)
        raise SystemExit(3)
    """
    result = subprocess.run(
        [sys.executable, "-c", textwrap.dedent(script)], capture_output=True, text=True, check=False
    )
    assert result.returncode == 3
    assert not psutil.pid_exists(int(result.stdout))


def test_ports_are_handed_out_once():
    """Two processes on one port would share its connections without an error."""
    allocator = PortAllocator()
    addresses = [allocator.address() for _ in range(200)]
    assert len(set(addresses)) == 200

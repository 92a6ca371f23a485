"""Tests of the imports of a process and of its signal handling during them."""

from __future__ import annotations

import subprocess
import sys

import pytest

_LIST_MODULES = """
import sys
import hibiscuspoint.platform.main
print(*sorted(sys.modules))
"""


@pytest.fixture(scope="module")
def modules() -> set[str]:
    """Return the modules that the daemon imports before it runs."""
    command = [sys.executable, "-c", _LIST_MODULES]
    return set(subprocess.run(command, capture_output=True, text=True, check=True).stdout.split())


#: Modules that an instance without a disk needs after its ports are open, or never.
DEFERRED_MODULES = (
    "aiohttp",
    "hibiscuspoint.components.consensus",
    "hibiscuspoint.components.failover_control",
    "hibiscuspoint.components.target_poller",
    "hibiscuspoint.core.consensus",
    "hibiscuspoint.core.control.leader",
    "hibiscuspoint.core.failover.leader",
    "hibiscuspoint.daemon.control_role",
    "hibiscuspoint.document",
    "hibiscuspoint.drivers.standin",
    "hibiscuspoint.settings",
    "hibiscuspoint.storage.disk_log",
    "hibiscuspoint.wire.consensus_pb2",
    "hibiscuspoint.wire.target_pb2",
    "hdrhistogram",
    "jinja2",
    "pydantic",
)


@pytest.mark.parametrize("name", DEFERRED_MODULES)
def test_module_is_not_loaded_before_the_ports_open(modules, name):
    """Guards against slow imports, which lengthen each outage after a loss of power."""
    assert name not in modules


_PRINT_SIGHUP_HANDLER = """
import signal, sys, types
daemon = types.ModuleType("hibiscuspoint.platform.main")
daemon.main = lambda started_at: print(signal.getsignal(signal.SIGHUP).name)
sys.modules[daemon.__name__] = daemon
from hibiscuspoint.platform.__main__ import run
run()
"""


def test_reload_during_the_start_does_not_end_the_process():
    """Guards against a SIGHUP that terminates a process while it imports its libraries.

    Found by seed 35 of the soak: an instance that received the signal 1 s after its start was
    terminated by it.
    """
    command = [sys.executable, "-c", _PRINT_SIGHUP_HANDLER]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert output.strip() == "SIG_IGN"

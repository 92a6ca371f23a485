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


@pytest.mark.parametrize("name", ["aiohttp", "aiohttp.web", "yarl", "frozenlist"])
def test_native_libraries_are_loaded_before_any_thread_starts(modules, name):
    """Guards against native code that is loaded while threads of gRPC run.

    Found on fresh-3fcf of kovacik-zaloha and scale-2 of pluma-viva: processes that imported the
    HTTP library after the start of gRPC crashed with a segmentation fault in that import.
    """
    assert name in modules


@pytest.mark.parametrize("name", ["pydantic", "hibiscuspoint.settings", "hibiscuspoint.document"])
def test_documents_and_their_settings_are_not_loaded(modules, name):
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

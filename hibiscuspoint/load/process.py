"""Child processes that end with the launcher that started them."""

from __future__ import annotations

import atexit
import logging
import os
import signal
import subprocess
import sys
import weakref
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["OwnedProcess", "ProcessExitedError"]

logger = logging.getLogger(__name__)

#: Lines of the output that an error message repeats.
TAIL_LINES = 20

_started: weakref.WeakSet[OwnedProcess] = weakref.WeakSet()


class ProcessExitedError(RuntimeError):
    """A child process ended although it should run."""


class OwnedProcess:
    """A Python module that runs as a child process.

    :param name: name of the process in messages and of its output file.
    :param arguments: module name and arguments, as after ``python -m``.
    :param directory: directory of the output file.
    """

    def __init__(self, name: str, arguments: Sequence[str], directory: Path) -> None:
        self._name = name
        self._command = [sys.executable, "-m", *arguments]
        self._output = directory / f"{name}.out"
        self._process: subprocess.Popen[bytes] | None = None
        self._is_wanted = False

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self._name

    @property
    def pid(self) -> int:
        """Return the process id.

        :raises ProcessExitedError: the process was not started.
        """
        return self._require().pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, or start it again after it ended."""
        if self.is_running:
            raise RuntimeError(f"{self._name} is running already")
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=_environment(),
            )
        self._is_wanted = True
        _started.add(self)

    def kill(self) -> None:
        """End the process with SIGKILL and wait until it is gone."""
        self._is_wanted = False
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def terminate(self) -> None:
        """Ask the process to stop with SIGTERM; it does not wait."""
        self._is_wanted = False
        self._require().terminate()

    def suspend(self) -> None:
        """Freeze the process with SIGSTOP."""
        self._require().send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process with SIGCONT."""
        self._require().send_signal(signal.SIGCONT)

    def exit_status(self) -> int | None:
        """Return the exit status; ``None`` while the process runs."""
        return self._require().poll()

    def check(self) -> None:
        """Check that the process did not end by itself.

        :raises ProcessExitedError: it did; the message repeats the end of its output.
        """
        if self._is_wanted and not self.is_running:
            raise ProcessExitedError(
                f"{self._name} ended with status {self.exit_status()}:\n{self.tail()}"
            )

    def tail(self) -> str:
        """Return the last lines of the output."""
        if not self._output.exists():
            return ""
        lines = self._output.read_text(encoding="utf-8", errors="replace").splitlines()
        return "\n".join(lines[-TAIL_LINES:])

    def _require(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise ProcessExitedError(f"{self._name} was not started")
        return self._process


def _environment() -> dict[str, str]:
    """Return the environment with this checkout first on the module path."""
    root = str(Path(__file__).resolve().parents[2])
    path = [root, *filter(None, os.environ.get("PYTHONPATH", "").split(os.pathsep))]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(dict.fromkeys(path))}


@atexit.register
def _kill_all() -> None:
    """Kill what is left when the interpreter ends without closing a topology."""
    for process in list(_started):
        if process.is_running:
            logger.warning("%s still runs at exit and is killed", process.name)
            process.kill()

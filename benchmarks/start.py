"""Cost of the start of one instance of the platform, against an interpreter that does nothing."""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.load.ports import PortAllocator
from tests.platform.builders import settings_fields

#: Starts of each kind of process.
RUNS = 9
QUICK_RUNS = 3

#: Longest time in seconds until a process has opened its ports.
START_TIMEOUT_SECONDS = 30.0

MEGABYTE = 1_048_576

#: Event that a process logs when all its ports are open.
STARTED_EVENT = '"daemon-started"'

#: An interpreter that loads nothing and waits.
_WAIT = f"import time; print({STARTED_EVENT!r}, flush=True); time.sleep(60)"
INTERPRETER = [sys.executable, "-c", _WAIT]
INSTANCE = [sys.executable, "-m", "hibiscuspoint.platform"]

_COUNT_MODULES = "import sys, hibiscuspoint.platform.main; print(len(sys.modules))"


def _write_settings(directory: Path, ports: PortAllocator, data: Path | None) -> Path:
    fields = settings_fields(
        ip=ports.host,
        listen={name: ports.address() for name in ("frontend", "ready", "control_addr")},
        internal_ports=[int(ports.address().rpartition(":")[2]) for _ in range(2)],
        seeds=[f"{ports.host}:8782"],
        data_dir=str(data) if data is not None else None,
        fault_budget={"machines": 0},
    )
    path = directory / "settings.json"
    path.write_text(json.dumps(fields))
    return path


def _start(command: list[str], settings: Path) -> dict[str, float]:
    """Start a process, wait until its ports are open and return what it has used."""
    environment = {**os.environ, "HIBISCUSPOINT_BOOT": str(settings)}
    started = time.monotonic()
    process = subprocess.Popen(
        command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    try:
        if not any(STARTED_EVENT in line for line in process.stdout):
            raise RuntimeError("the process ended before its ports were open")
        wall = time.monotonic() - started
        memory = psutil.Process(process.pid).memory_full_info()
    finally:
        process.kill()
        process.stdout.close()
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "wall_s": wall,
        "private_mb": memory.uss / MEGABYTE,
        "resident_mb": memory.rss / MEGABYTE,
    }


def _median(samples: list[dict[str, float]]) -> Figures:
    return {
        key: round(statistics.median(sample[key] for sample in samples), 4) for key in samples[0]
    }


@BENCHMARKS.register("start")
async def run(options: Options) -> Figures:
    """Return processor time, wall time and memory until the ports of a process are open."""
    return await asyncio.to_thread(_run, options.choose(RUNS, QUICK_RUNS))


def _run(runs: int) -> Figures:
    figures: Figures = {}
    with tempfile.TemporaryDirectory() as root:
        for role, data in (("without_disk", None), ("with_disk", "data")):
            samples = []
            for number in range(runs):
                directory = Path(root) / f"{role}-{number}"
                directory.mkdir()
                path = directory / data if data else None
                samples.append(_start(INSTANCE, _write_settings(directory, PortAllocator(), path)))
            figures[role] = _median(samples)
        figures["interpreter"] = _median([_start(INTERPRETER, Path(root)) for _ in range(runs)])
    empty = figures["interpreter"]
    figures["without_disk"]["cpu_to_interpreter"] = round(
        figures["without_disk"]["cpu_s"] / empty["cpu_s"], 2
    )
    modules = subprocess.run(
        [sys.executable, "-c", _COUNT_MODULES], capture_output=True, text=True, check=True
    )
    figures["without_disk"]["modules"] = int(modules.stdout)
    return figures

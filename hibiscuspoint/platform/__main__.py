"""Runs one instance on the platform as ``python -m hibiscuspoint.platform``."""

from __future__ import annotations

import gc
import signal
import sys

from hibiscuspoint.util.clock import suspend_aware


def run() -> int:
    """Import the daemon, run it and return its exit code.

    The start time of a process determines how long an outage of all instances lasts. Garbage
    collection during the imports frees nothing and takes a tenth of the start time.
    """
    started_at = suspend_aware()
    # SIGHUP terminates a process that has no handler for it. Ignoring the signal here loses no
    # reload, since the settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from hibiscuspoint.platform.main import main

    gc.freeze()
    gc.enable()
    return main(started_at)


if __name__ == "__main__":
    sys.exit(run())

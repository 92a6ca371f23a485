"""Runs seeds of the soak one after the other and prints those that failed."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from tests.soak.run import CALLERS, CONNECTIONS, run_seed


def main() -> int:
    """Run the soak and return 1 when a seed failed."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="time of faults in each run")
    parser.add_argument("--network", default="90.1", help="octets of the loopback addresses")
    parser.add_argument(
        "--connections", type=int, default=CONNECTIONS, help="connections that a database accepts"
    )
    parser.add_argument("--instances", type=int, default=3, help="number of instances")
    parser.add_argument("--callers", type=int, default=CALLERS, help="callers at each instance")
    options = parser.parse_args()
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history = run_seed(
            seed,
            options.seconds,
            options.network,
            directory,
            options.connections,
            instances=options.instances,
            callers=options.callers,
        )
        outcome = "; ".join(history.violations[:5]) or "ok"
        print(f"seed {seed}: {history.writes} writes, {history.reads} reads: {outcome}")
        singles = history.singles
        print(f"  {singles['succeeded']} of {singles['sent']} reads and writes succeeded")
        sys.stdout.flush()
        if history.violations:
            failed.append(seed)
            print(f"  logs: {directory}")
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())

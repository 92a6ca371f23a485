"""Command line of the benchmarks."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import sys
from typing import TYPE_CHECKING

from benchmarks import (
    acknowledgement,
    config,
    control,
    control_core,
    failover,
    holders,
    leader,
    lease,
    logs,
    organisations,
    overhead,
    overload,
    reads,
    start,
)
from benchmarks.bounds import missed
from benchmarks.registry import BENCHMARKS, Options
from hibiscuspoint.load.deployments import DEPLOYMENTS

if TYPE_CHECKING:
    from benchmarks.registry import Figures

logger = logging.getLogger(__name__)

#: Modules that register benchmarks.
MODULES = (
    acknowledgement,
    config,
    control,
    control_core,
    failover,
    holders,
    leader,
    lease,
    logs,
    organisations,
    overhead,
    overload,
    reads,
    start,
)
ALL = "all"
#: Benchmarks of decisions that do not depend on the deployment; one of them is enough.
ONCE = (
    "acknowledgement",
    "control",
    "control_core",
    "holders",
    "leader",
    "lease",
    "logs",
    "organisations",
    "start",
)
#: Time for one benchmark in seconds, far more than any needs; one that hangs counts as missed.
TIMEOUT_S = 300.0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("name", choices=[*sorted(BENCHMARKS.names), ALL])
    parser.add_argument("--check", action="store_true", help="exit 1 when a bound is missed")
    parser.add_argument("--quick", action="store_true", help="small parameters")
    parser.add_argument(
        "--deployment",
        choices=[*DEPLOYMENTS.names, "both"],
        default="both",
        help="sizes of section 1.4 of the design page",
    )
    return parser


async def _bounded(name: str, options: Options) -> Figures:
    async with asyncio.timeout(TIMEOUT_S):
        return await BENCHMARKS.get(name)(options)


def _deployments(name: str, chosen: str) -> list[str]:
    if chosen != "both":
        return [chosen]
    return DEPLOYMENTS.names[:1] if name in ONCE else DEPLOYMENTS.names


def _run(name: str, deployment: str, quick: bool) -> Figures:
    options = Options(DEPLOYMENTS.get(deployment), quick)
    try:
        figures = asyncio.run(_bounded(name, options))
        misses = missed(name, figures)
    except Exception as error:
        # The other benchmarks still run; the bounds of this one count as missed.
        logger.exception("benchmark %s did not complete", name)
        figures = {}
        misses = [f"did not complete: {error!r}", *missed(name, figures)]
    for miss in misses:
        print(f"{name}, {deployment}: {miss}", file=sys.stderr)
    return {"benchmark": name, "deployment": deployment, "misses": misses, "figures": figures}


def main(arguments: list[str] | None = None) -> int:
    """Run benchmarks, print their figures as one JSON object and check the bounds."""
    options = _parser().parse_args(arguments)
    logging.basicConfig(level=logging.WARNING)
    names = sorted(BENCHMARKS.names) if options.name == ALL else [options.name]
    results = [
        _run(name, deployment, options.quick)
        for name in names
        for deployment in _deployments(name, options.deployment)
    ]
    has_missed = any(result["misses"] for result in results)
    print(json.dumps({"quick": options.quick, "results": results}))
    return 1 if options.check and has_missed else 0


if __name__ == "__main__":
    sys.exit(main())

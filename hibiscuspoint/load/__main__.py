"""Command line of the load tool: ``python -m hibiscuspoint.load EXPERIMENT.toml``."""

from __future__ import annotations

import argparse
import json
import logging
import sys
from pathlib import Path

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.load.tool import run


def main(arguments: list[str] | None = None) -> int:
    """Run an experiment, print its summary and return 1 when a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="hibiscuspoint.load", description=__doc__)
    parser.add_argument("experiment", type=Path, help="TOML file of the experiment")
    options = parser.parse_args(arguments)
    logging.basicConfig(level=logging.INFO)
    try:
        result = run(options.experiment)
    except HibiscusError as error:
        print(f"{error.code}: {error.message}\n{error.hint}", file=sys.stderr)
        return 2
    print(json.dumps(result.summary, indent=2))
    return 0 if result.holds else 1


if __name__ == "__main__":
    sys.exit(main())

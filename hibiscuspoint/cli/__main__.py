"""Runs the command line with ``python -m hibiscuspoint.cli``."""

from __future__ import annotations

import sys

from hibiscuspoint.cli.main import main

if __name__ == "__main__":
    sys.exit(main())

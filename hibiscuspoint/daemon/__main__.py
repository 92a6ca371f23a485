"""Runs the daemon."""

from __future__ import annotations

import sys

from hibiscuspoint.daemon.main import main

if __name__ == "__main__":
    sys.exit(main())

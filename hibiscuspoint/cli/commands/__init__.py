"""The commands; importing this package fills the registry."""

from __future__ import annotations

# The order of the imports is the order of the commands in --help.
from hibiscuspoint.cli.commands import (  # isort: skip
    check,
    diff,
    apply,
    promote,
    history,
    show,
    status,
    drain,
    switchover,
    repair,
    execute,
    report,
    load,
    completion,
)

__all__ = [
    "apply",
    "check",
    "completion",
    "diff",
    "drain",
    "execute",
    "history",
    "load",
    "promote",
    "repair",
    "report",
    "show",
    "status",
    "switchover",
]

"""Fixtures of the command line tests."""

from __future__ import annotations

import pytest

from hibiscuspoint.cli.main import main
from tests.cli.environment import Environment


@pytest.fixture
def trial():
    """Return a running environment ``trial``."""
    with Environment("trial") as environment:
        yield environment


@pytest.fixture
def production():
    """Return a running environment ``production``."""
    with Environment("production") as environment:
        yield environment


@pytest.fixture
def run(capsys):
    """Return a function that runs the command line and returns status, output and errors."""

    def call(*arguments: object, connect: Environment | None = None) -> tuple[int, str, str]:
        argv = ["--plain-text", "--timeout", "5", *(str(argument) for argument in arguments)]
        if connect is not None:
            argv += ["--connect", connect.address]
        status = main(argv)
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return call

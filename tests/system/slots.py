"""Slots that limit how many topologies the workers of one test run have at once."""

from __future__ import annotations

import fcntl
import time
from contextlib import contextmanager
from typing import IO, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

__all__ = ["CONCURRENT_TOPOLOGIES", "slot", "try_slot"]

#: A topology has a dozen processes; more of them would starve each other on 10 cores.
CONCURRENT_TOPOLOGIES = 3
POLL_INTERVAL_S = 0.1
#: Longer than the whole suite may take.
TIMEOUT_S = 480.0


def try_slot(directory: Path) -> IO[str] | None:
    """Return a locked file that holds a slot until it is closed; ``None`` if all are taken."""
    for number in range(CONCURRENT_TOPOLOGIES):
        file = (directory / f"topology-{number}.lock").open("w")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            file.close()
        else:
            return file
    return None


@contextmanager
def slot(directory: Path) -> Iterator[None]:
    """Hold a slot, waiting until one is free.

    :param directory: directory that all workers of the run share.
    :raises TimeoutError: no slot became free.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while (file := try_slot(directory)) is None:
        if time.monotonic() >= deadline:
            raise TimeoutError("no slot for a topology became free")
        time.sleep(POLL_INTERVAL_S)
    with file:
        yield

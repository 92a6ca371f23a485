"""Creation, locking and opening of the disk log in the data directory."""

from __future__ import annotations

import fcntl
import logging
import shutil
import uuid
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.entries import HardState
from hibiscuspoint.storage.disk_log import LOG_NAME, DiskLog, encode_log
from hibiscuspoint.storage.files import replace_file, sync_directory
from hibiscuspoint.storage.framing import encode_frame
from hibiscuspoint.storage.recovery import (
    IDENTITY_NAME,
    DiskDamageError,
    read_identity,
    recover,
)
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.wire import consensus_pb2 as pb

if TYPE_CHECKING:
    from pathlib import Path
    from typing import BinaryIO

__all__ = ["ControlDisk", "DiskInUseError"]

logger = logging.getLogger(__name__)

_DIRECTORY_NAME = "consensus"


class DiskInUseError(Exception):
    """Another process holds the lock of the data directory."""


class ControlDisk:
    """The disk log of one control instance and the file lock that protects it.

    A damaged log is moved aside and replaced with an empty one that has a new identity.

    :param data_directory: data directory of the instance; created when missing.
    :raises DiskInUseError: another process uses the directory.
    :raises OSError: the directory cannot be read or written.
    """

    def __init__(self, data_directory: Path) -> None:
        data_directory.mkdir(parents=True, exist_ok=True)
        sync_directory(data_directory.parent)
        self._lock = _lock(data_directory / f"{_DIRECTORY_NAME}.lock")
        self._log = _open_log(data_directory / _DIRECTORY_NAME)

    @property
    def log(self) -> DiskLog:
        """Disk log, open for appending."""
        return self._log

    def close(self) -> None:
        """Close the log and release the lock."""
        self._log.close()
        self._lock.close()


def _lock(path: Path) -> BinaryIO:
    file = path.open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        file.close()
        raise DiskInUseError(f"another process uses the data directory {path.parent}") from error
    return file


def _open_log(directory: Path) -> DiskLog:
    if not directory.exists():
        _create(directory)
    try:
        return _load(directory)
    except DiskDamageError as error:
        damaged_directory = _move_aside(directory)
        log_event(logger, catalogue.DISK_LOST, disk=damaged_directory.name, reason=str(error))
        _create(directory)
        return _load(directory)


def _load(directory: Path) -> DiskLog:
    identity = read_identity(directory)
    return DiskLog(directory, identity, recover(directory))


def _create(directory: Path) -> None:
    """Create an empty log with a new identity.

    The files are written to a temporary directory, which is renamed when it is complete.
    """
    temporary = directory.with_name(f"{directory.name}.new")
    shutil.rmtree(temporary, ignore_errors=True)
    temporary.mkdir()
    identity = pb.DiskIdentity(disk=uuid.uuid4().hex).SerializeToString()
    replace_file(temporary / IDENTITY_NAME, encode_frame(identity))
    replace_file(temporary / LOG_NAME, encode_log(0, HardState(), ()))
    temporary.rename(directory)
    sync_directory(directory.parent)


def _move_aside(directory: Path) -> Path:
    number = 1
    while (damaged_directory := directory.with_name(f"{directory.name}.damaged-{number}")).exists():
        number += 1
    directory.rename(damaged_directory)
    sync_directory(directory.parent)
    return damaged_directory

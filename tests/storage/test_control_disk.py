"""Tests of the disk log of a control instance and its recovery."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.core.consensus import (
    Command,
    Configuration,
    DiskId,
    Entry,
    HardState,
    Member,
    Snapshot,
)
from hibiscuspoint.core.consensus.effects import SaveEntries, SaveHardState, SaveSnapshot
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.storage import disk_log
from hibiscuspoint.storage.control_disk import ControlDisk, DiskInUseError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from hibiscuspoint.storage.disk_log import DiskLog

MEMBER = Member(InstanceId("a"), DiskId("disk"))
HARD_STATE = HardState(term=3, vote=MEMBER, group="group")


def entry(index: int, term: int = 1, size: int = 40) -> Entry:
    """Return a command entry whose data contains no zero bytes."""
    return Entry(index, term, Command(b"x" * size))


@contextmanager
def open_log(directory: Path) -> Iterator[DiskLog]:
    """Open the disk log in a directory, and close it at the end of the context."""
    disk = ControlDisk(directory)
    try:
        yield disk.log
    finally:
        disk.close()


def append_entries(directory: Path, *entries: Entry) -> DiskId:
    """Append each entry in a frame of its own and return the identity of the disk."""
    with open_log(directory) as log:
        for single_entry in entries:
            log.save(SaveEntries((single_entry,)))
            log.sync()
        return log.identity


def log_file(directory: Path) -> Path:
    return directory / "consensus" / "log"


def test_state_survives_reopening(tmp_path):
    """Guards against a member that loses its vote or its entries in a restart.

    It could vote twice in a term, or lose entries that it has acknowledged.
    """
    configuration = Entry(2, 1, Configuration(voters=frozenset({MEMBER})))
    with open_log(tmp_path) as log:
        log.save(SaveEntries((entry(1), configuration, entry(3))))
        log.save(SaveHardState(HARD_STATE))
        log.save(SaveEntries((entry(3, term=2),)))
        log.sync()
        identity = log.identity
    with open_log(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.hard_state == HARD_STATE
        assert log.recovered.entries == (entry(1), configuration, entry(3, term=2))


def test_unsynced_records_are_not_written(tmp_path):
    """Guards against records of an aborted step that appear after a restart."""
    with open_log(tmp_path) as log:
        log.save(SaveEntries((entry(1),)))
    with open_log(tmp_path) as log:
        assert log.recovered.entries == ()


@pytest.mark.parametrize("cut", [1, 15, 16, 40])
def test_torn_tail_is_truncated(tmp_path, cut):
    """Guards against the loss of a disk by an interrupted write, which was never acknowledged."""
    identity = append_entries(tmp_path, entry(1), entry(2))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    with open_log(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.entries == (entry(1),)
        log.save(SaveEntries((entry(2, term=2),)))
        log.sync()
    with open_log(tmp_path) as log:
        assert log.recovered.entries == (entry(1), entry(2, term=2))


def test_unwritten_sectors_at_the_end_are_a_torn_tail(tmp_path):
    """Guards against the loss of a disk by a crash after the log file has grown.

    Sectors that were not written before the crash read as zeros.
    """
    identity = append_entries(tmp_path, entry(1), entry(2, size=2000))
    path = log_file(tmp_path)
    data = path.read_bytes()
    path.write_bytes(data[:-1000] + bytes(1000))
    with open_log(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.entries == (entry(1),)


@pytest.mark.parametrize("distance", [10, 70, 80, 150])
def test_damaged_log_is_replaced(tmp_path, distance):
    """Guards against damage to acknowledged data that is taken for a torn tail.

    A changed byte is such damage, even in the last frame.
    """
    identity = append_entries(tmp_path, entry(1), entry(2))
    path = log_file(tmp_path)
    data = bytearray(path.read_bytes())
    data[-distance] ^= 0x40
    path.write_bytes(data)
    with open_log(tmp_path) as log:
        assert log.identity != identity
        assert log.recovered.entries == ()
        assert log.recovered.hard_state == HardState()
    assert (tmp_path / "consensus.damaged-1" / "log").read_bytes() == data


def test_zeros_before_a_valid_frame_are_damage(tmp_path):
    """Guards against damage that is taken for an interrupted write.

    Sectors of zeros are an interrupted write only when no valid frame follows them.
    """
    identity = append_entries(tmp_path, entry(1, size=2000), entry(2))
    data = bytearray(log_file(tmp_path).read_bytes())
    data[600:1600] = bytes(1000)
    log_file(tmp_path).write_bytes(data)
    with open_log(tmp_path) as log:
        assert log.identity != identity


@pytest.mark.parametrize("name", ["log", "identity", "snapshot-00000000000000000002"])
def test_log_with_a_missing_file_is_replaced(tmp_path, name):
    """Guards against two votes in a term by a disk that keeps its identity but lost its records."""
    identity = append_entries(tmp_path, entry(1), entry(2), entry(3))
    with open_log(tmp_path) as log:
        snapshot = Snapshot(2, 1, Configuration(), b"state")
        log.save(SaveSnapshot(snapshot, HARD_STATE, (entry(3),)))
    (tmp_path / "consensus" / name).unlink()
    with open_log(tmp_path) as log:
        assert log.identity != identity


def test_snapshot_replaces_log(tmp_path):
    """Guards against a snapshot that removes the hard state or the entries after it."""
    first, second = Snapshot(1, 1, Configuration(), b"one"), Snapshot(2, 1, Configuration(), b"two")
    with open_log(tmp_path) as log:
        log.save(SaveEntries((entry(1), entry(2), entry(3))))
        log.save(SaveSnapshot(first, HARD_STATE, (entry(2), entry(3))))
        log.save(SaveSnapshot(second, HARD_STATE, (entry(3),)))
        log.save(SaveEntries((entry(4),)))
        log.sync()
    with open_log(tmp_path) as log:
        assert log.recovered.snapshot == second
        assert log.recovered.hard_state == HARD_STATE
        assert log.recovered.entries == (entry(3), entry(4))
    assert len(list((tmp_path / "consensus").glob("snapshot-*"))) == 1


@pytest.mark.parametrize(("term", "kept"), [(1, (entry(3),)), (2, ())])
def test_crash_between_snapshot_and_log(tmp_path, monkeypatch, term, kept):
    """Guards against lost entries after a crash between the writes of snapshot and log.

    The old log must continue the new snapshot unless it conflicts with it.
    """
    replace_file = disk_log.replace_file

    def fail_on_log(path: Path, data: bytes) -> None:
        if path.name == "log":
            raise OSError("crash")
        replace_file(path, data)

    append_entries(tmp_path, entry(1), entry(2), entry(3))
    monkeypatch.setattr(disk_log, "replace_file", fail_on_log)
    snapshot = Snapshot(2, term, Configuration(), b"state")
    with open_log(tmp_path) as log, pytest.raises(OSError, match="crash"):
        log.save(SaveSnapshot(snapshot, HARD_STATE, kept))
    with open_log(tmp_path) as log:
        assert log.recovered.snapshot == snapshot
        assert log.recovered.entries == kept


def test_directory_is_used_by_one_process(tmp_path):
    """Guards against two processes that append to one log and damage it."""
    with open_log(tmp_path), pytest.raises(DiskInUseError):
        ControlDisk(tmp_path)

"""Tests of the disk log."""

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
HARD = HardState(term=3, vote=MEMBER, group="group")


def entry(index: int, term: int = 1, size: int = 40) -> Entry:
    """Return a command entry without zero bytes."""
    return Entry(index, term, Command(b"x" * size))


@contextmanager
def opened(directory: Path) -> Iterator[DiskLog]:
    """Open the disk log and close it again."""
    disk = ControlDisk(directory)
    try:
        yield disk.log
    finally:
        disk.close()


def write(directory: Path, *entries: Entry) -> DiskId:
    """Append each entry in a frame of its own."""
    with opened(directory) as log:
        for each in entries:
            log.save(SaveEntries((each,)))
            log.sync()
        return log.identity


def log_file(directory: Path) -> Path:
    return directory / "consensus" / "log"


def test_state_survives_reopening(tmp_path):
    """A member that forgets its vote or entries could contradict itself."""
    configuration = Entry(2, 1, Configuration(voters=frozenset({MEMBER})))
    with opened(tmp_path) as log:
        log.save(SaveEntries((entry(1), configuration, entry(3))))
        log.save(SaveHardState(HARD))
        log.save(SaveEntries((entry(3, term=2),)))
        log.sync()
        identity = log.identity
    with opened(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.hard_state == HARD
        assert log.recovered.entries == (entry(1), configuration, entry(3, term=2))


def test_unsynced_records_are_not_written(tmp_path):
    """Records of an aborted step must not appear after a restart."""
    with opened(tmp_path) as log:
        log.save(SaveEntries((entry(1),)))
    with opened(tmp_path) as log:
        assert log.recovered.entries == ()


@pytest.mark.parametrize("cut", [1, 15, 16, 40])
def test_torn_tail_is_cut_off(tmp_path, cut):
    """An interrupted last write was never acknowledged and must not cost the disk."""
    identity = write(tmp_path, entry(1), entry(2))
    path = log_file(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    with opened(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.entries == (entry(1),)
        log.save(SaveEntries((entry(2, term=2),)))
        log.sync()
    with opened(tmp_path) as log:
        assert log.recovered.entries == (entry(1), entry(2, term=2))


def test_unwritten_sectors_at_the_end_are_a_torn_tail(tmp_path):
    """A file may grow before its sectors are written; these read as zeros."""
    identity = write(tmp_path, entry(1), entry(2, size=2000))
    path = log_file(tmp_path)
    data = path.read_bytes()
    path.write_bytes(data[:-1000] + bytes(1000))
    with opened(tmp_path) as log:
        assert log.identity == identity
        assert log.recovered.entries == (entry(1),)


@pytest.mark.parametrize("distance", [10, 70, 80, 150])
def test_damage_loses_the_disk(tmp_path, distance):
    """A changed byte, even in the last frame, is lost acknowledged data and no torn tail."""
    identity = write(tmp_path, entry(1), entry(2))
    path = log_file(tmp_path)
    data = bytearray(path.read_bytes())
    data[-distance] ^= 0x40
    path.write_bytes(data)
    with opened(tmp_path) as log:
        assert log.identity != identity
        assert log.recovered.entries == ()
        assert log.recovered.hard_state == HardState()
    assert (tmp_path / "consensus.damaged-1" / "log").read_bytes() == data


def test_zeros_before_a_valid_frame_lose_the_disk(tmp_path):
    """Zeros at the end are an interrupted write; with later frames they are damage."""
    identity = write(tmp_path, entry(1, size=2000), entry(2))
    data = bytearray(log_file(tmp_path).read_bytes())
    data[600:1600] = bytes(1000)
    log_file(tmp_path).write_bytes(data)
    with opened(tmp_path) as log:
        assert log.identity != identity


@pytest.mark.parametrize("name", ["log", "identity", "snapshot-00000000000000000002"])
def test_missing_file_loses_the_disk(tmp_path, name):
    """A disk with its identity but without its records would vote twice."""
    identity = write(tmp_path, entry(1), entry(2), entry(3))
    with opened(tmp_path) as log:
        snapshot = Snapshot(2, 1, Configuration(), b"state")
        log.save(SaveSnapshot(snapshot, HARD, (entry(3),)))
    (tmp_path / "consensus" / name).unlink()
    with opened(tmp_path) as log:
        assert log.identity != identity


def test_snapshot_replaces_log(tmp_path):
    """Entries after the snapshot and the hard state must stay."""
    first, second = Snapshot(1, 1, Configuration(), b"one"), Snapshot(2, 1, Configuration(), b"two")
    with opened(tmp_path) as log:
        log.save(SaveEntries((entry(1), entry(2), entry(3))))
        log.save(SaveSnapshot(first, HARD, (entry(2), entry(3))))
        log.save(SaveSnapshot(second, HARD, (entry(3),)))
        log.save(SaveEntries((entry(4),)))
        log.sync()
    with opened(tmp_path) as log:
        assert log.recovered.snapshot == second
        assert log.recovered.hard_state == HARD
        assert log.recovered.entries == (entry(3), entry(4))
    assert len(list((tmp_path / "consensus").glob("snapshot-*"))) == 1


@pytest.mark.parametrize(("term", "kept"), [(1, (entry(3),)), (2, ())])
def test_crash_between_snapshot_and_log(tmp_path, monkeypatch, term, kept):
    """The old log must continue the new snapshot, unless it conflicts with it."""
    replace_file = disk_log.replace_file

    def fail_on_log(path: Path, data: bytes) -> None:
        if path.name == "log":
            raise OSError("crash")
        replace_file(path, data)

    write(tmp_path, entry(1), entry(2), entry(3))
    monkeypatch.setattr(disk_log, "replace_file", fail_on_log)
    snapshot = Snapshot(2, term, Configuration(), b"state")
    with opened(tmp_path) as log, pytest.raises(OSError, match="crash"):
        log.save(SaveSnapshot(snapshot, HARD, kept))
    with opened(tmp_path) as log:
        assert log.recovered.snapshot == snapshot
        assert log.recovered.entries == kept


def test_directory_is_used_by_one_process(tmp_path):
    """Two processes that append to one log would damage it."""
    with opened(tmp_path), pytest.raises(DiskInUseError):
        ControlDisk(tmp_path)

"""Write-ahead log of one control instance, and its snapshot files."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus.effects import Save, SaveEntries, SaveHardState, SaveSnapshot
from hibiscuspoint.storage.files import replace_file
from hibiscuspoint.storage.framing import encode_frame
from hibiscuspoint.wire import consensus_pb2 as pb
from hibiscuspoint.wire.consensus import encode_entry, encode_hard_state, encode_snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from hibiscuspoint.core.consensus.entries import Entry, HardState, RecoveredState, Snapshot
    from hibiscuspoint.core.consensus.membership import DiskId

__all__ = [
    "LOG_NAME",
    "SNAPSHOT_PREFIX",
    "DiskLog",
    "encode_log",
    "snapshot_name",
]

LOG_NAME = "log"
SNAPSHOT_PREFIX = "snapshot-"


def snapshot_name(index: int) -> str:
    """Return the file name of a snapshot; the padded index makes the names sort by index."""
    return f"{SNAPSHOT_PREFIX}{index:020d}"


def encode_log(snapshot_index: int, hard_state: HardState, entries: Iterable[Entry]) -> bytes:
    """Return the content of a new log file that continues a snapshot."""
    start = pb.DiskRecord(start=pb.LogStart(snapshot_index=snapshot_index))
    return _encode_records([start, _hard_state_record(hard_state), *map(_entry_record, entries)])


class DiskLog:
    """Appends records to the log file, and replaces the file when a snapshot is stored.

    :param directory: directory of the log and snapshot files.
    :param identity: random identity of the disk.
    :param recovered: state that was read when the log was opened.
    """

    def __init__(self, directory: Path, identity: DiskId, recovered: RecoveredState) -> None:
        self._directory = directory
        self._identity = identity
        self._recovered = recovered
        self._pending: list[pb.DiskRecord] = []
        self._file = (directory / LOG_NAME).open("ab")

    @property
    def identity(self) -> DiskId:
        """Random identity of the disk."""
        return self._identity

    @property
    def recovered(self) -> RecoveredState:
        """State that was read when the log was opened."""
        return self._recovered

    def save(self, effect: Save) -> None:
        """Record an effect, which is durable after :meth:`sync`."""
        match effect:
            case SaveHardState(hard_state):
                self._pending.append(_hard_state_record(hard_state))
            case SaveEntries(entries):
                self._pending.extend(map(_entry_record, entries))
            case SaveSnapshot(snapshot, hard_state, entries):
                self._save_snapshot(snapshot, hard_state, entries)

    def sync(self) -> None:
        """Write all recorded effects as one frame and sync the file."""
        if not self._pending:
            return
        self._file.write(_encode_records(self._pending))
        self._file.flush()
        os.fsync(self._file.fileno())
        self._pending.clear()

    def close(self) -> None:
        """Close the log file."""
        self._file.close()

    def _save_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, entries: tuple[Entry, ...]
    ) -> None:
        """Store the snapshot file first, and then the log file that continues it.

        After a crash between the two writes, the old log still holds every entry after the
        snapshot.
        """
        self.sync()
        name = snapshot_name(snapshot.index)
        encoded = encode_snapshot(snapshot).SerializeToString()
        replace_file(self._directory / name, encode_frame(encoded))
        replace_file(self._directory / LOG_NAME, encode_log(snapshot.index, hard_state, entries))
        self._file.close()
        self._file = (self._directory / LOG_NAME).open("ab")
        self._remove_snapshots_before(name)

    def _remove_snapshots_before(self, name: str) -> None:
        for path in self._directory.glob(f"{SNAPSHOT_PREFIX}*"):
            if path.name < name:
                path.unlink()


def _hard_state_record(hard_state: HardState) -> pb.DiskRecord:
    return pb.DiskRecord(hard_state=encode_hard_state(hard_state))


def _entry_record(entry: Entry) -> pb.DiskRecord:
    return pb.DiskRecord(entry=encode_entry(entry))


def _encode_records(records: Iterable[pb.DiskRecord]) -> bytes:
    return encode_frame(pb.DiskFrame(records=records).SerializeToString())

"""Recovery of the state of a member from the files of its disk log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from hibiscuspoint.core.consensus.entries import Entry, HardState, RecoveredState, Snapshot
from hibiscuspoint.core.consensus.membership import DiskId
from hibiscuspoint.storage.disk_log import LOG_NAME, SNAPSHOT_PREFIX
from hibiscuspoint.storage.files import truncate_file
from hibiscuspoint.storage.framing import TailState, scan_frames
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.wire import consensus_pb2 as pb
from hibiscuspoint.wire.consensus import decode_entry, decode_hard_state, decode_snapshot

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

__all__ = ["IDENTITY_NAME", "DiskDamageError", "read_identity", "recover"]

logger = logging.getLogger(__name__)

IDENTITY_NAME = "identity"


class DiskDamageError(Exception):
    """Acknowledged data of a disk is missing or damaged."""


def read_identity(directory: Path) -> DiskId:
    """Return the identity of a disk.

    :raises DiskDamageError: the identity file is missing or damaged.
    """
    encoded = pb.DiskIdentity.FromString(_read_single_frame(directory / IDENTITY_NAME))
    return DiskId(encoded.disk)


def recover(directory: Path) -> RecoveredState:
    """Return the snapshot, hard state and entries of a disk, and truncate a torn tail of its log.

    :raises DiskDamageError: acknowledged data is missing or damaged.
    """
    snapshot = _read_latest_snapshot(directory)
    replay = _LogReplay()
    try:
        for record in _read_log(directory / LOG_NAME):
            replay.apply_record(record)
    except DecodeError as error:
        raise DiskDamageError(f"{LOG_NAME} contains an invalid record") from error
    return replay.result(snapshot)


class _LogReplay:
    """Replays the records of a log file and rebuilds the latest state from them."""

    def __init__(self) -> None:
        #: Index of the snapshot that the log continues; ``None`` before its first record.
        self._snapshot_index: int | None = None
        self._hard_state = HardState()
        self._entries: list[Entry] = []

    def apply_record(self, record: pb.DiskRecord) -> None:
        """Replay the next record."""
        match record.WhichOneof("body"):
            case "start":
                self._snapshot_index = record.start.snapshot_index
            case "hard_state":
                self._hard_state = decode_hard_state(record.hard_state)
            case "entry":
                self._append_entry(decode_entry(record.entry))

    def result(self, snapshot: Snapshot) -> RecoveredState:
        """Return the state after the last record, starting at the latest snapshot.

        After a crash between the writes of snapshot and log, the log may start at an older
        snapshot. Its entries after the latest snapshot are then kept if the log contains the last
        entry that the snapshot covers.

        :raises DiskDamageError: the log starts at a snapshot that is missing.
        """
        if self._snapshot_index is None or self._snapshot_index > snapshot.index:
            raise DiskDamageError(f"snapshot {self._snapshot_index} is missing")
        if self._snapshot_index == snapshot.index:
            return RecoveredState(self._hard_state, snapshot, tuple(self._entries))
        offset = snapshot.index - self._snapshot_index
        remaining_entries: list[Entry] = []
        if offset <= len(self._entries) and self._entries[offset - 1].term == snapshot.term:
            remaining_entries = self._entries[offset:]
        return RecoveredState(self._hard_state, snapshot, tuple(remaining_entries))

    def _append_entry(self, entry: Entry) -> None:
        offset = entry.index - (self._snapshot_index or 0) - 1
        if not 0 <= offset <= len(self._entries):
            raise DiskDamageError(f"entry {entry.index} does not follow the entries before it")
        del self._entries[offset:]
        self._entries.append(entry)


def _read_log(path: Path) -> Iterator[pb.DiskRecord]:
    scan = scan_frames(_read_file(path))
    if scan.tail is TailState.DAMAGED:
        raise DiskDamageError(f"{path.name} is damaged at byte {scan.valid_bytes}")
    if scan.tail is TailState.TORN:
        removed_bytes = path.stat().st_size - scan.valid_bytes
        truncate_file(path, scan.valid_bytes)
        log_event(
            logger,
            catalogue.DISK_TAIL_TRUNCATED,
            disk=path.parent.name,
            bytes_removed=removed_bytes,
        )
    for payload in scan.payloads:
        yield from pb.DiskFrame.FromString(payload).records


def _read_latest_snapshot(directory: Path) -> Snapshot:
    names = [path.name for path in directory.glob(f"{SNAPSHOT_PREFIX}*") if not path.suffix]
    if not names:
        return Snapshot()
    payload = _read_single_frame(directory / max(names))
    return decode_snapshot(pb.Snapshot.FromString(payload))


def _read_single_frame(path: Path) -> bytes:
    """Return the payload of a file that consists of one frame.

    :raises DiskDamageError: the file is missing or damaged.
    """
    scan = scan_frames(_read_file(path))
    if scan.tail is not TailState.CLEAN or len(scan.payloads) != 1:
        raise DiskDamageError(f"{path.name} is damaged")
    return scan.payloads[0]


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError as error:
        raise DiskDamageError(f"{path.name} is missing") from error

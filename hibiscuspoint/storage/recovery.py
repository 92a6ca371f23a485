"""Reading of the files of one disk log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from hibiscuspoint.core.consensus.entries import Entry, HardState, Recovered, Snapshot
from hibiscuspoint.core.consensus.membership import DiskId
from hibiscuspoint.storage.disk_log import LOG_NAME, SNAPSHOT_PREFIX
from hibiscuspoint.storage.files import truncate_file
from hibiscuspoint.storage.framing import Tail, scan_frames
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

    :raises DiskDamageError: the file is missing or damaged.
    """
    encoded = pb.DiskIdentity.FromString(_read_only_frame(directory / IDENTITY_NAME))
    return DiskId(encoded.disk)


def recover(directory: Path) -> Recovered:
    """Return snapshot, hard state and entries of a disk, and cut off a torn tail.

    :raises DiskDamageError: acknowledged data is missing or damaged.
    """
    snapshot = _read_latest_snapshot(directory)
    replay = _Replay()
    try:
        for record in _read_log(directory / LOG_NAME):
            replay.add(record)
    except DecodeError as error:
        raise DiskDamageError(f"{LOG_NAME} holds an invalid record") from error
    return replay.result(snapshot)


class _Replay:
    """Rebuilds the latest state from the records of a log file."""

    def __init__(self) -> None:
        self._start: int | None = None
        self._hard = HardState()
        self._entries: list[Entry] = []

    def add(self, record: pb.DiskRecord) -> None:
        """Add the next record."""
        match record.WhichOneof("body"):
            case "start":
                self._start = record.start.snapshot_index
            case "hard_state":
                self._hard = decode_hard_state(record.hard_state)
            case "entry":
                self._add_entry(decode_entry(record.entry))

    def result(self, snapshot: Snapshot) -> Recovered:
        """Return the state with the latest snapshot.

        The snapshot may be newer than the log after a crash between the writes of the two.
        """
        if self._start is None or self._start > snapshot.index:
            raise DiskDamageError(f"snapshot {self._start} is missing")
        if self._start == snapshot.index:
            return Recovered(self._hard, snapshot, tuple(self._entries))
        position = snapshot.index - self._start
        kept: list[Entry] = []
        if position <= len(self._entries) and self._entries[position - 1].term == snapshot.term:
            kept = self._entries[position:]
        return Recovered(self._hard, snapshot, tuple(kept))

    def _add_entry(self, entry: Entry) -> None:
        position = entry.index - (self._start or 0) - 1
        if not 0 <= position <= len(self._entries):
            raise DiskDamageError(f"entry {entry.index} does not follow the log")
        del self._entries[position:]
        self._entries.append(entry)


def _read_log(path: Path) -> Iterator[pb.DiskRecord]:
    scan = scan_frames(_read_file(path))
    if scan.tail is Tail.DAMAGED:
        raise DiskDamageError(f"{path.name} is damaged at byte {scan.valid_bytes}")
    if scan.tail is Tail.TORN:
        removed = path.stat().st_size - scan.valid_bytes
        truncate_file(path, scan.valid_bytes)
        log_event(
            logger, catalogue.DISK_TAIL_TRUNCATED, disk=path.parent.name, bytes_removed=removed
        )
    for payload in scan.payloads:
        yield from pb.DiskFrame.FromString(payload).records


def _read_latest_snapshot(directory: Path) -> Snapshot:
    names = [path.name for path in directory.glob(f"{SNAPSHOT_PREFIX}*") if not path.suffix]
    if not names:
        return Snapshot()
    payload = _read_only_frame(directory / max(names))
    return decode_snapshot(pb.Snapshot.FromString(payload))


def _read_only_frame(path: Path) -> bytes:
    """Return the payload of a file that was written whole."""
    scan = scan_frames(_read_file(path))
    if scan.tail is not Tail.CLEAN or len(scan.payloads) != 1:
        raise DiskDamageError(f"{path.name} is damaged")
    return scan.payloads[0]


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError as error:
        raise DiskDamageError(f"{path.name} is missing") from error

"""Splitting of large snapshots into parts that fit into one gRPC message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.wire import consensus_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["PART_BYTES", "SnapshotAssembler", "split_envelope"]

#: Keeps a part below the default gRPC limit of 4 MiB.
PART_BYTES = 1024 * 1024


def split_envelope(envelope: pb.Envelope) -> Iterator[pb.Envelope]:
    """Yield the envelopes to send; more than one only for a large snapshot."""
    data = envelope.snapshot_request.snapshot.data
    if len(data) <= PART_BYTES:
        yield envelope
        return
    for start in range(0, len(data), PART_BYTES):
        part = pb.Envelope()
        part.CopyFrom(envelope)
        part.snapshot_request.snapshot.data = data[start : start + PART_BYTES]
        part.snapshot_request.has_more = start + PART_BYTES < len(data)
        yield part


class SnapshotAssembler:
    """Joins the snapshot parts of one stream."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, envelope: pb.Envelope) -> pb.Envelope | None:
        """Return a complete envelope, or ``None`` while parts are missing."""
        if envelope.WhichOneof("body") != "snapshot_request":
            return envelope
        request = envelope.snapshot_request
        self._parts.append(request.snapshot.data)
        if request.has_more:
            return None
        request.snapshot.data = b"".join(self._parts)
        self._parts.clear()
        return envelope

"""Framing of files: each frame is a checksummed payload that becomes durable as a whole."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

__all__ = ["ScanResult", "TailState", "encode_frame", "scan_frames"]

_MAGIC = b"HPF1"
#: Magic, payload length, CRC-32 of the payload.
_HEADER_FIELDS = struct.Struct("<4sII")
#: CRC-32 of the header fields before it, so that a damaged length is detected.
_HEADER_CHECKSUM = struct.Struct("<I")
_HEADER_BYTES = _HEADER_FIELDS.size + _HEADER_CHECKSUM.size

#: A disk writes each sector atomically.
_SECTOR_BYTES = 512


class TailState(Enum):
    """State of the bytes after the last valid frame of a file."""

    #: There are no further bytes.
    CLEAN = "clean"
    #: The last write was interrupted, so that it was never acknowledged.
    TORN = "torn"
    #: A frame that was written completely, and may be acknowledged, is damaged.
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Result of a scan for frames.

    :param payloads: payloads of the valid frames at the start of the file.
    :param valid_bytes: size of these frames in bytes.
    :param tail: state of the bytes after them.
    """

    payloads: list[bytes]
    valid_bytes: int
    tail: TailState


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload: header and payload."""
    fields = _HEADER_FIELDS.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return fields + _HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan_frames(data: bytes) -> ScanResult:
    """Return the valid frames at the start of a file and the state of its tail."""
    payloads: list[bytes] = []
    offset = 0
    while (payload := _read_frame(data, offset)) is not None:
        payloads.append(payload)
        offset += _HEADER_BYTES + len(payload)
    if offset == len(data):
        return ScanResult(payloads, offset, TailState.CLEAN)
    return ScanResult(payloads, offset, _classify_tail(data, offset))


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the payload length and checksum of a valid header, or ``None``."""
    if offset + _HEADER_BYTES > len(data):
        return None
    fields = data[offset : offset + _HEADER_FIELDS.size]
    (header_checksum,) = _HEADER_CHECKSUM.unpack_from(data, offset + _HEADER_FIELDS.size)
    magic, length, payload_checksum = _HEADER_FIELDS.unpack(fields)
    if magic != _MAGIC or header_checksum != zlib.crc32(fields):
        return None
    return length, payload_checksum


def _read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of a valid frame, or ``None``."""
    header = _read_header(data, offset)
    if header is None:
        return None
    length, payload_checksum = header
    start = offset + _HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != payload_checksum:
        return None
    return payload


def _classify_tail(data: bytes, offset: int) -> TailState:
    """Distinguish an interrupted write from damage.

    An interrupted append leaves a short file or sectors of zeros. Anything else, or a valid frame
    at a higher offset, means that a frame was damaged after it had been written.
    """
    if _has_later_frame(data, offset):
        return TailState.DAMAGED
    if _is_short(data, offset) or _has_zero_sector(data, offset):
        return TailState.TORN
    return TailState.DAMAGED


def _has_later_frame(data: bytes, offset: int) -> bool:
    found = data.find(_MAGIC, offset + 1)
    while found >= 0:
        if _read_frame(data, found) is not None:
            return True
        found = data.find(_MAGIC, found + 1)
    return False


def _is_short(data: bytes, offset: int) -> bool:
    if len(data) - offset < _HEADER_BYTES:
        return True
    header = _read_header(data, offset)
    return header is not None and offset + _HEADER_BYTES + header[0] > len(data)


def _has_zero_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // _SECTOR_BYTES + 1) * _SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False

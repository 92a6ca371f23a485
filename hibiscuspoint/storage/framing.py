"""Frames: checksummed units that become durable together."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

__all__ = ["Scan", "Tail", "encode_frame", "scan_frames"]

_MAGIC = b"HPF1"
#: Magic, payload length, CRC-32 of the payload.
_FIELDS = struct.Struct("<4sII")
#: CRC-32 of the fields before it, so that a damaged length is not trusted.
_CHECK = struct.Struct("<I")
_HEADER_BYTES = _FIELDS.size + _CHECK.size

#: A disk writes a sector whole or not at all.
_SECTOR_BYTES = 512


class Tail(Enum):
    """State of a file after its last valid frame."""

    CLEAN = "clean"
    #: The last write was interrupted; it was never acknowledged.
    TORN = "torn"
    #: Acknowledged data is damaged.
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class Scan:
    """Valid frames at the start of a file, their size in bytes, and what follows them."""

    payloads: list[bytes]
    valid_bytes: int
    tail: Tail


def encode_frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    fields = _FIELDS.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return fields + _CHECK.pack(zlib.crc32(fields)) + payload


def scan_frames(data: bytes) -> Scan:
    """Return the frames of a file."""
    payloads: list[bytes] = []
    offset = 0
    while (payload := _read_frame(data, offset)) is not None:
        payloads.append(payload)
        offset += _HEADER_BYTES + len(payload)
    if offset == len(data):
        return Scan(payloads, offset, Tail.CLEAN)
    return Scan(payloads, offset, _classify_tail(data, offset))


def _read_length(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return payload length and checksum of a valid header, or ``None``."""
    if offset + _HEADER_BYTES > len(data):
        return None
    fields = data[offset : offset + _FIELDS.size]
    (check,) = _CHECK.unpack_from(data, offset + _FIELDS.size)
    magic, length, checksum = _FIELDS.unpack(fields)
    if magic != _MAGIC or check != zlib.crc32(fields):
        return None
    return length, checksum


def _read_frame(data: bytes, offset: int) -> bytes | None:
    header = _read_length(data, offset)
    if header is None:
        return None
    length, checksum = header
    start = offset + _HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _classify_tail(data: bytes, offset: int) -> Tail:
    """Tell an interrupted write from damage.

    An interrupted append leaves a short file or sectors of zeros. Anything else, or a valid frame
    further on, means that a frame was damaged after it had been written.
    """
    if _has_later_frame(data, offset):
        return Tail.DAMAGED
    if _is_short(data, offset) or _has_zero_sector(data, offset):
        return Tail.TORN
    return Tail.DAMAGED


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
    header = _read_length(data, offset)
    return header is not None and offset + _HEADER_BYTES + header[0] > len(data)


def _has_zero_sector(data: bytes, offset: int) -> bool:
    start = offset
    while start < len(data):
        end = min(len(data), (start // _SECTOR_BYTES + 1) * _SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False

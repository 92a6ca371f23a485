"""Packed texts of documents, whole or as the difference to an earlier text."""

from __future__ import annotations

import zstandard

__all__ = ["MAX_TEXT_BYTES", "PackedTextError", "pack", "unpack"]

#: Largest text in bytes. It is the largest message between instances, which limits a submission.
MAX_TEXT_BYTES = 16_777_216

#: Level of zstd: the default of the library, 5 ms for a configuration of 1,280 routes.
LEVEL = 3


class PackedTextError(ValueError):
    """A packed text is damaged, too large or belongs to another base."""


def pack(text: str, base: str = "") -> bytes:
    """Return a packed text.

    :param base: text that the receiver has; the result is small when both are alike.
    """
    compressor = zstandard.ZstdCompressor(
        level=LEVEL, write_checksum=True, dict_data=_dictionary(base)
    )
    return compressor.compress(text.encode())


def unpack(packed: bytes, base: str = "") -> str:
    """Return the text that was packed.

    :param base: the text that was given to :func:`pack`.
    :raises PackedTextError: the data is damaged, too large or belongs to another base.
    """
    try:
        size = zstandard.frame_content_size(packed)
        if size > MAX_TEXT_BYTES:
            raise PackedTextError(f"a packed text of {size} bytes is too large")
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return decompressor.decompress(packed, max_output_size=MAX_TEXT_BYTES).decode()
    except (zstandard.ZstdError, UnicodeDecodeError) as error:
        raise PackedTextError(f"a packed text cannot be read: {error}") from error


def _dictionary(base: str) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base.encode(), dict_type=zstandard.DICT_TYPE_RAWCONTENT)

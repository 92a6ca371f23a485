"""Durable file operations."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["replace_file", "sync_directory", "truncate_file"]


def sync_directory(directory: Path) -> None:
    """Make the entries of a directory durable, such as created and renamed files."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Write a file atomically and durably: a temporary file is synced and then renamed."""
    temporary = path.with_name(path.name + ".tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_directory(path.parent)


def truncate_file(path: Path, size: int) -> None:
    """Truncate a file to a size in bytes and sync it."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())

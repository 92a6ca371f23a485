"""Durable file operations."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["replace_file", "sync_directory", "truncate_file"]


def sync_directory(directory: Path) -> None:
    """Make the names in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Write a file under a temporary name, sync it, and give it its name."""
    temporary = path.with_name(path.name + ".tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_directory(path.parent)


def truncate_file(path: Path, size: int) -> None:
    """Cut a file to a size durably."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())

"""Paths in settings, relative to the directory of the settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, ValidationInfo

__all__ = ["SettingsPath"]


def _resolve(path: Path, info: ValidationInfo) -> Path:
    if "\0" in str(path) or not path.name:
        raise ValueError("is not a path")
    base = (info.context or {}).get("directory")
    return base / path if base is not None else path


SettingsPath = Annotated[Path, Field(strict=False), AfterValidator(_resolve)]

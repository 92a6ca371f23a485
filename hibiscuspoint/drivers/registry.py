"""The registry of target drivers."""

from __future__ import annotations

from typing import Any

from hibiscuspoint.registry import Registry

__all__ = ["target_drivers"]

#: Driver classes by the name that an environment document uses.
target_drivers: Registry[type[Any]] = Registry("target driver")

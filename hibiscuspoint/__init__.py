"""A database proxy that keeps sessions consistent for callers that move between instances."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"

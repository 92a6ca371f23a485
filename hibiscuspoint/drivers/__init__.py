"""Drivers for kinds of targets."""

from __future__ import annotations

import lazy_loader

# Most processes need the errors only, and imports take most of the start time.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "errors": [
            "AdminError",
            "ConnectError",
            "ConnectFailure",
            "ConnectionLost",
            "TargetFailure",
        ],
        "registry": ["target_drivers"],
        "standin": ["StandinDriver"],
    },
)

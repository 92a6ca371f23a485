"""The verdict on whether a request ran."""

from __future__ import annotations

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Tells whether a request ran; the values match ``common.proto``."""

    #: The request ran and its whole answer is known.
    DONE = 1
    #: No target received the request.
    NOT_RUN = 2
    #: A target may have received the request; its outcome is unknown.
    MAY_HAVE_RUN = 3

"""The environment document: parsing, digest, differences and promotion."""

from __future__ import annotations

from hibiscuspoint.document.diff import Change, diff
from hibiscuspoint.document.document import Document, promoted
from hibiscuspoint.document.model import (
    EnvironmentModel,
    GroupModel,
    LimitsModel,
    PromotionModel,
    ReadsModel,
    ServiceLevelsModel,
)

__all__ = [
    "Change",
    "Document",
    "EnvironmentModel",
    "GroupModel",
    "LimitsModel",
    "PromotionModel",
    "ReadsModel",
    "ServiceLevelsModel",
    "diff",
    "promoted",
]

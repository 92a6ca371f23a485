"""Execution of requests at the targets of the groups that this instance holds."""

from __future__ import annotations

from hibiscuspoint.components.holder.context import GroupRequest, GroupResult, HolderContext
from hibiscuspoint.components.holder.group import GroupHolder

__all__ = ["GroupHolder", "GroupRequest", "GroupResult", "HolderContext"]

"""Changes of the limits of organisations, for the log of the control leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import RateLimit
    from hibiscuspoint.ids import OrganisationId

__all__ = ["LimitChange"]


@dataclass(frozen=True, slots=True)
class LimitChange:
    """An organisation reached its limit or is below it again.

    :param demand: operations per second that the entries reported.
    :param entries: number of entries with a share.
    :param permits: permits that were left at the leader.
    """

    organisation: OrganisationId
    is_limiting: bool
    limit: RateLimit
    demand: float
    entries: int
    permits: float

"""What an entry decides about one operation of an organisation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from hibiscuspoint.core.organisations import Organisation

__all__ = ["OperationLimiter", "QuotaVerdict"]


@dataclass(frozen=True, slots=True)
class QuotaVerdict:
    """Decision about one operation.

    :param retry_after_seconds: time after which a refused operation may be admitted.
    """

    is_admitted: bool
    retry_after_seconds: float = 0.0


class OperationLimiter(Protocol):
    """Admits the operations of organisations up to their limits."""

    async def admit_or_wait(self, organisation: Organisation) -> QuotaVerdict:
        """Count one operation if it is within the limit, after a short wait if that may help."""

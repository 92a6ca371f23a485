"""The platform's call that promotes a database."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import aiohttp

from hibiscuspoint.core.ports import PromotionOutcome

if TYPE_CHECKING:
    from hibiscuspoint.ids import GroupId, TargetId

__all__ = ["PlatformAuthority"]

logger = logging.getLogger(__name__)


class PlatformAuthority:
    """Asks the platform for promotions.

    :param address: "ip:port" of the platform.
    :param holder: name of this instance as holder of the duty.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._url = f"http://{address}/promote"
        self._holder = holder

    async def promote(
        self, group: GroupId, target: TargetId, token: int, timeout: float
    ) -> PromotionOutcome:
        """Ask that a database becomes the primary of its service.

        :param token: fencing token; never lower than an earlier one.
        :param timeout: seconds.
        """
        headers = {
            "X-Hibiscuspoint-Lease-Holder": self._holder,
            "X-Hibiscuspoint-Fencing-Token": str(token),
        }
        body = {"service": group, "id": target}
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with (
                aiohttp.ClientSession(timeout=limit) as session,
                session.post(self._url, json=body, headers=headers) as response,
            ):
                if response.status == 409:
                    return PromotionOutcome.REFUSED
                if response.ok:
                    return PromotionOutcome.ACCEPTED
                logger.warning("the platform answered a promotion with status %d", response.status)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logger.warning("the platform did not answer a promotion: %r", error)
        return PromotionOutcome.UNKNOWN

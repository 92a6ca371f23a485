"""Client of the platform call that promotes a database."""

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
    """Requests promotions from the platform.

    :param address: "ip:port" of the platform.
    :param holder: name under which this instance holds the promotion duty.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._url = f"http://{address}/promote"
        self._holder = holder

    async def promote(
        self, group: GroupId, target: TargetId, token: int, timeout: float
    ) -> PromotionOutcome:
        """Request the promotion of a database to primary of its service.

        :param token: fencing token; never lower than that of an earlier request.
        :param timeout: time limit in seconds for the whole request.
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
                logger.warning("promotion request failed with HTTP status %d", response.status)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logger.warning("no answer to the promotion request: %r", error)
        return PromotionOutcome.UNKNOWN

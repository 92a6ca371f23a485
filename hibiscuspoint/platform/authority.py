"""Client of the platform call that promotes a database."""

from __future__ import annotations

import json
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

from hibiscuspoint.components.http_client import HttpClientError, post
from hibiscuspoint.core.ports import PromotionOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.ids import GroupId, TargetId

__all__ = ["PlatformAuthority"]

logger = logging.getLogger(__name__)

#: Longest time in seconds that a request is on its way. The lease of the leader outlives it.
DELIVERY_SECONDS = 0.25


class PlatformAuthority:
    """Requests promotions from the platform.

    :param address: "ip:port" of the platform.
    :param holder: name under which this instance holds the promotion duty.
    """

    def __init__(self, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder

    async def promote(
        self,
        group: GroupId,
        target: TargetId,
        token: int,
        timeout: float,
        may_send: Callable[[float], bool],
    ) -> PromotionOutcome:
        """Request the promotion of a database to primary of its service.

        The platform may not check the token, so that a request must not arrive after one of a later
        leader. See :class:`hibiscuspoint.core.ports.PromotionAuthority`.
        """
        headers = [
            ("Content-Type", "application/json"),
            ("X-Hibiscuspoint-Lease-Holder", self._holder),
            ("X-Hibiscuspoint-Fencing-Token", str(token)),
        ]
        body = json.dumps({"service": group, "id": target}).encode()
        try:
            status = await post(
                self._address,
                "/promote",
                body,
                headers,
                timeout,
                may_send=lambda: may_send(DELIVERY_SECONDS),
                delivery_seconds=DELIVERY_SECONDS,
            )
        except (HttpClientError, OSError) as error:
            logger.warning("no answer to the promotion request: %r", error)
            return PromotionOutcome.UNKNOWN
        if status == HTTPStatus.CONFLICT:
            return PromotionOutcome.REFUSED
        if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
            return PromotionOutcome.ACCEPTED
        logger.warning("promotion request failed with HTTP status %d", status)
        return PromotionOutcome.UNKNOWN

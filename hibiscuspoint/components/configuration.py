"""Configurations of which the one with the highest number wins."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.errors import NotLeaderError
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import record_pb2

if TYPE_CHECKING:
    from hibiscuspoint.components.failover_control import FailoverControl
    from hibiscuspoint.components.leader_client import LeaderClient

__all__ = ["ConfigurationService"]

logger = logging.getLogger(__name__)


class ConfigurationService:
    """Accepts configurations at the leader and returns the newest one.

    :param control: ``None`` on an instance without a control log.
    """

    def __init__(self, control: FailoverControl | None, leader: LeaderClient) -> None:
        self._control = control
        self._leader = leader

    @property
    def is_leader(self) -> bool:
        """Tell whether this instance accepts and returns configurations."""
        return self._control is not None and self._control.leader is not None

    @property
    def known_leader(self) -> str:
        """Return the address of the leader; empty when it is not known."""
        return self._leader.known_leader

    async def submit(self, number: int, digest: str, text: str) -> None:
        """Commit a configuration; one whose number is not higher than the present changes nothing.

        :raises NotLeaderError: this instance does not lead, or lost leadership meanwhile.
        """
        control = self._control
        if control is None or control.leader is None:
            raise NotLeaderError("this instance is not the control leader")
        current = control.state.document
        if current is not None and number <= current.number:
            return
        body = record_pb2.AcceptDocument(
            number=number,
            digest=digest,
            document=text,
            accepted_at_ms=int(control.clock.unix() * MILLISECONDS_PER_SECOND),
            highest_wins=True,
        )
        await control.log.propose(record_pb2.Command(accept_document=body))
        log_event(logger, catalogue.DOCUMENT_ACCEPTED, document=number, digest=digest)

    def current_text(self) -> str | None:
        """Return the text in force; ``None`` when there is none or this instance is not sure."""
        if not self.is_leader:
            return None
        document = self._control.state.document
        return document.text if document is not None else None

    def log_refusal(self, reason: str) -> None:
        """Log that a configuration is not valid."""
        log_event(logger, catalogue.CONFIGURATION_REFUSED, reason=reason)

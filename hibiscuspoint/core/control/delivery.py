"""Delivery of the document in force to the entries."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hibiscuspoint.wire.packing import pack

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import AcceptedDocument
    from hibiscuspoint.ids import GroupId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["DeliveredDocument", "DeliveredRoutes", "DeliveredState", "DocumentDelivery"]

#: Documents that are kept as the base of differences. A new document may come into force every
#: 0.3 s, and an entry on a slow link is about a second behind.
BASE_DOCUMENT_COUNT = 8

#: Seconds after which a document is sent again, this time whole, to an entry that has not reported
#: it. A text of 1 MiB, packed to a tenth, takes 0.4 s on a link of 2 Mbit/s.
RESEND_SECONDS = 2.0


@dataclass
class DeliveredDocument:
    """The document that was sent last on one stream.

    :param number: its number; 0 if none was sent.
    :param sent_at: monotonic time of sending in seconds.
    """

    number: int = 0
    sent_at: float = -math.inf


@dataclass
class DeliveredRoutes:
    """The routes that were sent on one stream; updates hold only what differs from them.

    :param contents: last route of each group.
    :param tips: monotonic time at which the position of each primary that was sent last was read.
    :param control_members: addresses of the control group that were sent last.
    :param is_started: whether an update was sent.
    """

    contents: dict[GroupId, object] = field(default_factory=dict)
    tips: dict[GroupId, float] = field(default_factory=dict)
    control_members: list[str] = field(default_factory=list)
    is_started: bool = False


@dataclass
class DeliveredState:
    """What was sent on one stream to an entry."""

    document: DeliveredDocument = field(default_factory=DeliveredDocument)
    routes: DeliveredRoutes = field(default_factory=DeliveredRoutes)

    def forget_routes(self) -> None:
        """Send all routes with the next update, as the entry has missed one."""
        self.routes = DeliveredRoutes()


class DocumentDelivery:
    """Packs the document in force, as the difference to an earlier document that the entry has.

    The text is sent once on each stream. If each update carried it until the entry reports it, the
    links of the leader would be saturated for seconds and its heartbeats would be delayed.
    """

    def __init__(self) -> None:
        self._texts: dict[int, str] = {}
        self._newest_number = 0
        self._packed_by_base: dict[int, bytes] = {}

    def set_document(self, document: AcceptedDocument | None) -> None:
        """Deliver another document from now on; no change if it is the current one."""
        if document is None or self._texts.get(document.number) == document.text:
            return
        self._texts[document.number] = document.text
        self._newest_number = document.number
        self._packed_by_base.clear()
        for oldest in list(self._texts)[:-BASE_DOCUMENT_COUNT]:
            del self._texts[oldest]

    def add_to_update(
        self,
        update: peer_pb2.ControlUpdate,
        reported_number: int,
        delivered: DeliveredDocument,
        now: float,
    ) -> None:
        """Add the document to an update if the entry needs it.

        :param update: message to which the packed document is added.
        :param reported_number: number of the document that the entry reported last.
        :param delivered: document that was sent last on the stream of the entry; updated when a
            document is added.
        :param now: monotonic time in seconds.
        """
        newest = self._newest_number
        if not newest or reported_number >= newest:
            return
        if delivered.number == newest:
            if now - delivered.sent_at < RESEND_SECONDS:
                return
            base = 0
        else:
            # The stream preserves the order, so the entry receives the earlier document first.
            base = max(reported_number, delivered.number)
        if base not in self._texts:
            base = 0
        delivered.number, delivered.sent_at = newest, now
        update.packed_document = self._packed_document(base)
        update.document_base = base

    def _packed_document(self, base: int) -> bytes:
        """Return the packed document; cached, because many entries have the same base."""
        if base not in self._packed_by_base:
            self._packed_by_base[base] = pack(
                self._texts[self._newest_number], self._texts.get(base, "")
            )
        return self._packed_by_base[base]

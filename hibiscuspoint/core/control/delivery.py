"""What the control leader sends of the documents to each entry."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.wire.packing import pack

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import AcceptedDocument
    from hibiscuspoint.wire import peer_pb2

__all__ = ["DeliveredDocument", "DocumentDelivery"]

#: Earlier documents that a difference can refer to. Documents may follow each other every 0.3 s,
#: and an entry on a slow link is about a second behind.
BASE_LIMIT = 8

#: Seconds after which a document is sent again, and then whole, to an entry that does not report
#: it. A text of 1 MiB, packed to a tenth, takes 0.4 s on a link of 2 Mbit/s.
RESEND_SECONDS = 2.0


@dataclass
class DeliveredDocument:
    """The document that was sent last on one stream; ``sent_at`` is monotonic time in seconds."""

    number: int = 0
    sent_at: float = -math.inf


class DocumentDelivery:
    """Packs the document in force, as the difference to an earlier one where the entry has that.

    The text is sent once on each stream: a whole document in each update until the entry reports it
    would fill the links of the leader for seconds, and delay its heartbeats.
    """

    def __init__(self) -> None:
        self._texts: dict[int, str] = {}
        self._newest = 0
        self._packed: dict[int, bytes] = {}

    def set_document(self, document: AcceptedDocument | None) -> None:
        """Take the document in force over."""
        if document is None or self._texts.get(document.number) == document.text:
            return
        self._texts[document.number] = document.text
        self._newest = document.number
        self._packed.clear()
        for oldest in list(self._texts)[:-BASE_LIMIT]:
            del self._texts[oldest]

    def add_to_update(
        self,
        update: peer_pb2.ControlUpdate,
        reported: int,
        delivered: DeliveredDocument,
        now: float,
    ) -> None:
        """Add the document to an update if the entry needs it.

        :param reported: number of the document that the entry reported last.
        :param delivered: what was sent on the stream of the entry; changed when a text is added.
        :param now: monotonic time in seconds.
        """
        newest = self._newest
        if not newest or reported >= newest:
            return
        if delivered.number == newest:
            if now - delivered.sent_at < RESEND_SECONDS:
                return
            base = 0
        else:
            # The stream keeps the order, so what was sent before arrives before.
            base = max(reported, delivered.number)
        if base not in self._texts:
            base = 0
        delivered.number, delivered.sent_at = newest, now
        update.packed_document = self._pack(base)
        update.document_base = base

    def _pack(self, base: int) -> bytes:
        """Return the packed document; the same one goes to many entries."""
        if base not in self._packed:
            self._packed[base] = pack(self._texts[self._newest], self._texts.get(base, ""))
        return self._packed[base]

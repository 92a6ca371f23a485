"""Tests of the delivery of documents to entries."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.delivery import (
    BASE_DOCUMENT_COUNT,
    RESEND_SECONDS,
    DeliveredDocument,
    DocumentDelivery,
)
from hibiscuspoint.core.control.state import AcceptedDocument
from hibiscuspoint.wire import peer_pb2
from hibiscuspoint.wire.packing import unpack
from tests.builders_control import large_configuration

#: Seconds between two reports of an entry.
REPORT_SECONDS = 0.25


class Deliveries:
    """A document delivery to one stream, and the texts of all documents."""

    def __init__(self) -> None:
        self.delivery = DocumentDelivery()
        self.delivered = DeliveredDocument()
        self.texts: dict[int, str] = {}
        self.now = 0.0

    def accept(self, number: int, routes: int = 1272) -> None:
        """Put a document into force that differs little from the one before."""
        self.texts[number] = large_configuration(routes, number)
        self.delivery.set_document(AcceptedDocument(number, str(number), self.texts[number], 0))

    def send(self, reported: int) -> peer_pb2.ControlUpdate:
        """Return the update that replies to a report.

        :param reported: number of the document that the entry reports.
        """
        update = peer_pb2.ControlUpdate()
        self.delivery.add_to_update(update, reported, self.delivered, self.now)
        return update

    def text(self, update: peer_pb2.ControlUpdate) -> str:
        """Return the text that an entry unpacks with the base of the update."""
        return unpack(update.packed_document, self.texts.get(update.document_base, ""))


@pytest.fixture
def deliveries() -> Deliveries:
    """Return a delivery with document 1 in force."""
    found = Deliveries()
    found.accept(1)
    return found


def test_configuration_is_sent_once_while_an_entry_is_slow(deliveries):
    """Guards against a leader that loses its leadership to the delivery of a large configuration.

    Each report of an entry on a slow link was answered with the whole document, so that the links
    of the leader were saturated for seconds.
    """
    size = 0
    for _ in range(7):
        size += len(deliveries.send(reported=0).packed_document)
        deliveries.now += REPORT_SECONDS
    assert 0 < size < len(deliveries.texts[1]) / 5


def test_successive_documents_are_sent_as_differences(deliveries):
    """Guards against documents in quick succession that are each sent whole to every entry."""
    deliveries.send(reported=0)
    size = 0
    for number in range(2, 7):
        deliveries.accept(number)
        update = deliveries.send(reported=1)
        assert deliveries.text(update) == deliveries.texts[number]
        size += len(update.packed_document)
    assert size < 5 * 1000


def test_entry_with_the_newest_document_receives_none(deliveries):
    """Guards against documents that are sent to entries that have them."""
    assert not deliveries.send(reported=1).packed_document
    assert not deliveries.send(reported=2).packed_document


def test_entry_that_attaches_again_receives_a_difference(deliveries):
    """Guards against whole documents on the new streams after a change of leader.

    The new leader has the earlier texts as well.
    """
    deliveries.accept(2)
    deliveries.delivered = DeliveredDocument()
    update = deliveries.send(reported=1)
    assert update.document_base == 1
    assert deliveries.text(update) == deliveries.texts[2]


def test_whole_document_follows_a_difference_that_was_not_applied(deliveries):
    """Guards against an entry that keeps its old document because it cannot unpack a difference.

    That happens if its base is not the text that the leader has under this number.
    """
    deliveries.accept(2)
    assert deliveries.send(reported=1).document_base == 1
    deliveries.now += RESEND_SECONDS
    update = deliveries.send(reported=1)
    assert update.document_base == 0
    assert deliveries.text(update) == deliveries.texts[2]


def test_entry_with_an_unknown_base_receives_the_whole_document(deliveries):
    """Guards against a difference to a document whose text the leader no longer keeps."""
    for number in range(2, BASE_DOCUMENT_COUNT + 3):
        deliveries.accept(number, routes=3)
    update = deliveries.send(reported=1)
    assert update.document_base == 0
    assert deliveries.text(update) == deliveries.texts[BASE_DOCUMENT_COUNT + 2]

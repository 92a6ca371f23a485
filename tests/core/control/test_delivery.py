"""Tests of the delivery of documents to entries."""

from __future__ import annotations

import pytest

from hibiscuspoint.core.control.delivery import (
    BASE_LIMIT,
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
    """A delivery with one stream, and the texts of the documents."""

    def __init__(self) -> None:
        self.delivery = DocumentDelivery()
        self.delivered = DeliveredDocument()
        self.texts: dict[int, str] = {}
        self.now = 0.0

    def accept(self, number: int, routes: int = 1272) -> None:
        """Put a document in force that differs little from the one before."""
        self.texts[number] = large_configuration(routes, number)
        self.delivery.set_document(AcceptedDocument(number, str(number), self.texts[number], 0))

    def send(self, reported: int) -> peer_pb2.ControlUpdate:
        """Return the update that answers a report."""
        update = peer_pb2.ControlUpdate()
        self.delivery.add_to_update(update, reported, self.delivered, self.now)
        return update

    def text(self, update: peer_pb2.ControlUpdate) -> str:
        """Return the text that an entry with the base restores."""
        return unpack(update.packed_document, self.texts.get(update.document_base, ""))


@pytest.fixture
def deliveries() -> Deliveries:
    """Return a delivery with document 1 in force."""
    found = Deliveries()
    found.accept(1)
    return found


def test_configuration_is_sent_once_while_an_entry_is_slow(deliveries):
    """Large configuration, many entries: each report of an entry on a slow link was answered with
    all of it, so that the links of the leader were full for seconds and it lost its leadership."""
    size = 0
    for _ in range(7):
        size += len(deliveries.send(reported=0).packed_document)
        deliveries.now += REPORT_SECONDS
    assert 0 < size < len(deliveries.texts[1]) / 5


def test_series_of_changes_is_sent_as_differences(deliveries):
    """Configurations in quick succession: each one reached each entry as a whole."""
    deliveries.send(reported=0)
    size = 0
    for number in range(2, 7):
        deliveries.accept(number)
        update = deliveries.send(reported=1)
        assert deliveries.text(update) == deliveries.texts[number]
        size += len(update.packed_document)
    assert size < 5 * 1000


def test_entry_that_reports_the_newest_document_gets_none(deliveries):
    """Guards against documents that are sent without need."""
    assert not deliveries.send(reported=1).packed_document
    assert not deliveries.send(reported=2).packed_document


def test_entry_that_attaches_again_gets_a_difference(deliveries):
    """A new leader that kept the earlier texts needs no whole documents for its new streams."""
    deliveries.accept(2)
    deliveries.delivered = DeliveredDocument()
    update = deliveries.send(reported=1)
    assert update.document_base == 1
    assert deliveries.text(update) == deliveries.texts[2]


def test_whole_document_follows_when_it_was_not_taken_over(deliveries):
    """An entry whose base differs can never read a difference, and would keep its old document."""
    deliveries.accept(2)
    assert deliveries.send(reported=1).document_base == 1
    deliveries.now += RESEND_SECONDS
    update = deliveries.send(reported=1)
    assert update.document_base == 0
    assert deliveries.text(update) == deliveries.texts[2]


def test_whole_document_goes_to_an_entry_with_an_unknown_base(deliveries):
    """Guards against a difference to a text that the leader no longer has."""
    for number in range(2, BASE_LIMIT + 3):
        deliveries.accept(number, routes=3)
    update = deliveries.send(reported=1)
    assert update.document_base == 0
    assert deliveries.text(update) == deliveries.texts[BASE_LIMIT + 2]

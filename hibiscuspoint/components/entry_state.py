"""State that an entry receives from control: document, holders and routes."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.core.entry.routes import (
    CONTACT_TIMEOUT_SECONDS,
    ContactMonitor,
    DocumentFence,
    RouteGrant,
    RouteMember,
    RouteTable,
)
from hibiscuspoint.core.position import TermHistory
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.ids import AvailabilityZone, GroupId, InstanceId, TargetId, Term
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND, NANOSECONDS_PER_SECOND
from hibiscuspoint.wire.packing import PackedTextError, unpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.core.sessions import RoutingTable
    from hibiscuspoint.document import Document
    from hibiscuspoint.wire import peer_pb2

    AnyDocument = Document | RoutingTable

__all__ = ["EntryState"]

logger = logging.getLogger(__name__)


def _parse_document(text: str) -> Document:
    # Imported here because the import takes a quarter of the start time, and instances that use a
    # routing table instead of documents do not need it.
    from hibiscuspoint.document import Document

    return Document.from_text(text, source="document in force")


class EntryState:
    """The document, the holders and the routes that are in force at an entry.

    :param environment: environment of this instance; documents of other environments are ignored.
    :param parse: parses the text of a document; raises ``ConfigurationError``.
    :param contact_seconds: time without contact with control after which the entry stops serving.
    """

    def __init__(
        self,
        environment: str,
        parse: Callable[[str], AnyDocument] = _parse_document,
        contact_seconds: float = CONTACT_TIMEOUT_SECONDS,
    ) -> None:
        self._environment = environment
        self._parse = parse
        self._fence = DocumentFence()
        self._contact = ContactMonitor(contact_seconds)
        self._holders: dict[GroupId, list[tuple[InstanceId, str]]] = {}
        self._document_text = ""
        # Terms of the routes that the present stream has sent with a lease.
        self._leased_terms: dict[GroupId, Term] = {}
        #: Whether an update was ignored, so that later ones that hold only changes do not suffice.
        self.has_missed_routes = False
        self.routes = RouteTable()
        self.document: AnyDocument | None = None
        self.holders_version = 0

    @property
    def document_number(self) -> int:
        """Number of the document in force; 0 when there is none."""
        return self.document.number if self.document is not None else 0

    @property
    def control_term(self) -> int:
        """Highest control term of the accepted updates."""
        return self._fence.control_term

    def has_group(self, group: str) -> bool:
        """Tell whether the document in force defines a group."""
        return self.document is not None and group in self.document.groups

    def holders(self, group: GroupId) -> list[tuple[InstanceId, str]]:
        """Return the holders of a group with their addresses, in order of preference."""
        return self._holders.get(group, [])

    def is_ready(self, now: float) -> bool:
        """Tell whether the entry may serve: it has a document and recent contact with control."""
        return self.document is not None and self._contact.has_recent_contact(now)

    def has_contact(self, now: float) -> bool:
        """Tell whether the last contact with control is recent enough to serve."""
        return self._contact.has_recent_contact(now)

    def accept_update(self, update: peer_pb2.ControlUpdate) -> bool:
        """Apply the document and the holders of an update unless it is outdated.

        :returns: false when the update is older than the state in force and was ignored.
        """
        if not self._fence.accept(update.control_term, update.document_number):
            self.has_missed_routes = True
            return False
        if update.all_routes:
            self.has_missed_routes = False
            self._leased_terms.clear()
        self._contact.record_contact(update.echo_sent_at_ns / NANOSECONDS_PER_SECOND)
        if update.packed_document and update.document_number > self.document_number:
            self._apply_document(update)
        for item in update.holders:
            listed = [(InstanceId(holder.instance), holder.address) for holder in item.holders]
            self._holders[GroupId(item.group)] = listed
        if update.holders:
            # The version is a digest of the lists. An update without lists may carry the version of
            # older lists than those that this entry has, so it must not set the version.
            self.holders_version = update.holders_version
        return True

    def apply_routes(self, update: peer_pb2.ControlUpdate) -> list[GroupId]:
        """Apply the routes of an update; return the groups whose route was not outdated."""
        requested_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
        applied = []
        for message in update.routes:
            grant = _grant_from_message(message, requested_at)
            if message.lease_ms:
                self._leased_terms[grant.group] = grant.term
            else:
                self._leased_terms.pop(grant.group, None)
            if self.routes.apply(grant):
                applied.append(grant.group)
        return applied

    def renew_routes(self, update: peer_pb2.ControlUpdate) -> list[GroupId]:
        """Renew the leases that an update does not mention; return the groups that have one.

        Called after the routes of the update were applied and revoked.
        """
        if not update.renewed_lease_ms or self.has_missed_routes:
            return []
        requested_at = update.echo_sent_at_ns / NANOSECONDS_PER_SECOND
        seconds = update.renewed_lease_ms / MILLISECONDS_PER_SECOND
        carried = {route.group for route in update.routes}
        return [
            group
            for group, term in self._leased_terms.items()
            if group not in carried and self.routes.renew(group, term, seconds, requested_at)
        ]

    def revoke_routes(self, update: peer_pb2.ControlUpdate) -> list[GroupId]:
        """Revoke the leases that an update lists; return the groups that had a lease."""
        revoked = [(GroupId(item.group), Term(item.term)) for item in update.revoked]
        for group, _ in revoked:
            self._leased_terms.pop(group, None)
        return [group for group, term in revoked if self.routes.revoke_lease(group, term)]

    def _apply_document(self, update: peer_pb2.ControlUpdate) -> None:
        number, digest = update.document_number, update.document_digest
        base = self._document_text if update.document_base else ""
        try:
            text = unpack(update.packed_document, base)
            document = self._parse(text)
        except PackedTextError as error:
            # This entry does not report the document number, so the control leader sends the full
            # text next.
            log_event(
                logger,
                catalogue.DOCUMENT_UNREADABLE,
                document=number,
                digest=digest,
                base=update.document_base,
                reason=str(error),
            )
            return
        except ConfigurationError as error:
            # A document for a newer software version is refused, and the former one stays in force;
            # the status shows its number.
            log_event(
                logger,
                catalogue.DOCUMENT_REFUSED,
                document=number,
                digest=digest,
                code=error.code,
            )
            return
        if document.environment == self._environment:
            self.document, self._document_text = document, text


def _grant_from_message(message: peer_pb2.Route, requested_at: float) -> RouteGrant:
    members = tuple(
        RouteMember(
            TargetId(member.target),
            member.address,
            AvailabilityZone(member.availability_zone),
            member.slots,
            member.leaving,
        )
        for member in message.members
    )
    return RouteGrant(
        group=GroupId(message.group),
        term=Term(message.term),
        primary=TargetId(message.primary),
        members=members,
        ack_quorum=message.ack_quorum,
        lease_seconds=message.lease_ms / MILLISECONDS_PER_SECOND,
        requested_at=requested_at,
        history=TermHistory([(Term(item.term), item.start) for item in message.history]),
        paused=message.paused,
        transactions_paused=message.transactions_paused,
    )

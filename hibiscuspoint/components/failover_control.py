"""The component that leads groups whose targets acknowledge commits by themselves."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hibiscuspoint.components.failover_effects import FailoverEffects
from hibiscuspoint.components.leading import LeaderComponent
from hibiscuspoint.core.consensus.repair import RepairPhase
from hibiscuspoint.core.failover import FailoverLeader, choose_voter_change
from hibiscuspoint.core.sessions.routing import table_limits
from hibiscuspoint.errors import ConfigurationError, HibiscusError
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.telemetry.bounds import LogPace
from hibiscuspoint.util.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.components.target_poller import TargetPoller
    from hibiscuspoint.core.failover import VoterChange
    from hibiscuspoint.core.ports import Clock, PromotionAuthority
    from hibiscuspoint.core.quotas import QuotaBounds
    from hibiscuspoint.core.sessions import RoutingTable
    from hibiscuspoint.ids import InstanceId
    from hibiscuspoint.telemetry.metrics import Metrics
    from hibiscuspoint.wire import peer_pb2, record_pb2

__all__ = ["DocumentReader", "FailoverControl"]

logger = logging.getLogger(__name__)

#: Seconds between two looks at the targets to poll and at the voters.
UPKEEP_SECONDS = 0.05

#: Seconds after its last report in which an instance counts as one that is there.
REPORTED_SECONDS = 1.0


@dataclass(frozen=True)
class DocumentReader:
    """How the leader learns the groups in use and the limits of organisations.

    :param parse: returns the content of the text of a document; raises ``ConfigurationError``.
    """

    parse: Callable[[str], RoutingTable]
    bounds: QuotaBounds


class FailoverControl(LeaderComponent[FailoverLeader]):
    """Runs the failover decisions, polls targets and keeps up the number of voters.

    :param required_voters: voters that the control group should have; fewer if disks are missing.
    :param reader: reads documents; ``None`` where any group is in use and there are no limits.
    """

    def __init__(
        self,
        instance: InstanceId,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        poller: TargetPoller,
        authority: PromotionAuthority,
        clock: Clock,
        metrics: Metrics,
        required_voters: int,
        reader: DocumentReader | None = None,
    ) -> None:
        self._poller = poller
        self._authority = authority
        self._required_voters = required_voters
        self._reader = reader
        self._pace = LogPace()
        self._is_document_inherited = False
        self._change: VoterChange | None = None
        self._change_since = 0.0
        self._upkeep: asyncio.Task | None = None
        poller.set_decision_runner(self.run_decision, lambda: log.is_leader)
        super().__init__(instance, log, machine, clock, metrics)

    def start(self) -> None:
        """Start the timers."""
        super().start()
        self._upkeep = spawn(self._keep_up_forever(), "upkeep of voters and polls")

    async def stop(self) -> None:
        """Stop the timers and the calls in progress."""
        if self._upkeep is not None:
            self._upkeep.cancel()
            await asyncio.gather(self._upkeep, return_exceptions=True)
        self._poller.stop()
        await super().stop()

    async def handle_announcement(self, announcement: peer_pb2.Announcement) -> bool:
        """Handle an announcement; one that names no target to use is accepted and ignored."""
        leader = self.leader
        objection = leader.objection(announcement) if leader is not None else ""
        if not objection:
            return await super().handle_announcement(announcement)
        if self._pace.allows("announcement", self._clock.monotonic()):
            log_event(
                logger, catalogue.TARGET_IGNORED, target=announcement.target, reason=objection
            )
        return True

    def _make_runner(self) -> FailoverEffects:
        return FailoverEffects(
            self._log,
            self._machine,
            self._poller,
            self._authority,
            self.run_decision,
            self._clock,
            lambda instance: self._wake([instance]),
        )

    def _make_leader(self, term: int, now: float) -> FailoverLeader:
        self._is_document_inherited = True
        return FailoverLeader(
            self._instance, term, self._machine.state, now, lease_left=self._log.lease_left
        )

    def _take_document(self) -> None:
        """Pass the groups in use and the limits of organisations to the leader object."""
        is_inherited, self._is_document_inherited = self._is_document_inherited, False
        document = self.state.document
        if self._reader is None or document is None or self._leader is None:
            return
        try:
            table = self._reader.parse(document.text)
        except ConfigurationError as error:
            # A document for a newer software version: entries refuse it and keep the former one.
            logger.warning("the document was not read: %s", error)
            return
        self._leader.set_known_groups(table.groups.keys())
        limits = table_limits(table)
        now = self._clock.monotonic()
        self._leader.set_limits(limits, self._reader.bounds, now, is_inherited=is_inherited)

    def _log_limits(self, leader: FailoverLeader) -> None:
        """Log which organisations reached or left their limit."""
        for change in leader.quotas.take_changes() if leader.quotas is not None else ():
            event = catalogue.ORGANISATION_LIMITED if change.is_limiting else None
            log_event(
                logger,
                event or catalogue.ORGANISATION_BELOW_LIMIT,
                organisation=change.organisation,
                rate_per_s=change.limit.rate_per_s,
                burst=change.limit.burst,
                demand=round(change.demand, 1),
                entries=change.entries,
                permits=round(change.permits, 1),
            )

    def _registered(self, command: record_pb2.Command) -> None:
        """Log what a target announced, as later decisions depend on it."""
        target = command.register_target
        log_event(
            logger,
            catalogue.TARGET_REGISTERED,
            group=target.group,
            target=target.target,
            address=target.address,
            incarnation=target.incarnation,
            leaving=target.leaving,
        )

    async def _keep_up_forever(self) -> None:
        while True:
            leader = self.leader
            if leader is None:
                self._poller.stop()
                self._change = None
                self._log.update_peers(())
            else:
                active = {group for group, c in leader.groups.items() if c.is_active}
                self._poller.set_targets(leader.targets(), leader.urgent_targets(), active)
                leader.control_members = [voter.instance for voter in self._log.voter_contacts]
                self._keep_voters(leader)
                self._log_limits(leader)
            await asyncio.sleep(UPKEEP_SECONDS)

    def _keep_voters(self, leader: FailoverLeader) -> None:
        now = self._clock.monotonic()
        disks = leader.recent_disks(now, REPORTED_SECONDS)
        self._log.update_peers(disks.keys())
        change = choose_voter_change(
            self._log.voter_contacts, disks, self._required_voters, self._instance, now
        )
        if change is None and not self._log.is_changing_voters:
            self._change = None
            return
        if change != self._change and change is not None:
            self._change, self._change_since = change, now
            log_event(
                logger,
                catalogue.VOTER_CHANGE_STARTED,
                subject=change.incoming,
                replaced=change.replaced or "",
            )
        if self._change is None:
            return
        try:
            phase = self._log.advance_voter_change(
                self._change.incoming, self._change.replaced, self._change_since
            )
        except HibiscusError as error:
            logger.debug("the voters were not changed: %s", error)
            return
        if phase is RepairPhase.DONE:
            log_event(logger, catalogue.VOTER_CHANGE_FINISHED, subject=self._change.incoming)
            self._change = None

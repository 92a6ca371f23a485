"""The component that leads the groups while this instance leads the control group."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.control_effects import ControlEffects
from hibiscuspoint.components.leading import LeaderComponent
from hibiscuspoint.core.control import ControlLeader
from hibiscuspoint.document import Document
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.telemetry import catalogue, log_event

if TYPE_CHECKING:
    from hibiscuspoint.components.consensus import ReplicatedLog
    from hibiscuspoint.components.control_state import ControlStateMachine
    from hibiscuspoint.core.ports import Clock, TargetDriver
    from hibiscuspoint.ids import GroupId, InstanceId
    from hibiscuspoint.telemetry.metrics import Metrics

__all__ = ["Control"]

logger = logging.getLogger(__name__)


class Control(LeaderComponent[ControlLeader]):
    """Leads groups with a fixed member list whose commits the proxy acknowledges."""

    def __init__(
        self,
        instance: InstanceId,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        driver: TargetDriver,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._driver = driver
        self._logged_holders: dict[GroupId, list[InstanceId]] = {}
        super().__init__(instance, log, machine, clock, metrics)

    def _make_runner(self) -> ControlEffects:
        return ControlEffects(
            self._log, self._machine, self._driver, self.run_decision, self._clock
        )

    def _make_leader(self, term: int, now: float) -> ControlLeader:
        return ControlLeader(self._instance, term, self._machine.state, now)

    def _take_document(self) -> None:
        accepted = self._machine.state.document
        if accepted is None or self._leader is None:
            return
        try:
            document = Document.from_text(accepted.text, source="document in force")
        except ConfigurationError as error:
            log_event(
                logger,
                catalogue.DOCUMENT_REFUSED,
                document=accepted.number,
                digest=accepted.digest,
                code=error.code,
            )
            return
        self._leader.set_document(document)

    def _holders_published(self) -> None:
        """Write the holders that changed since this instance leads."""
        for group in self._machine.state.groups:
            holders = list(self._leader.holders(group)) if self._leader is not None else []
            if holders and holders != self._logged_holders.get(group):
                self._logged_holders[group] = holders
                log_event(logger, catalogue.HOLDER_CHANGED, group=group, holders=holders)

"""An entry whose callers belong to organisations, over scripted targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.components.events import update_received
from hibiscuspoint.components.runtime import Runtime
from hibiscuspoint.components.sessions import SessionService
from hibiscuspoint.core.entry.drain import DrainState
from hibiscuspoint.core.quotas import QuotaVerdict
from hibiscuspoint.ids import AvailabilityZone
from hibiscuspoint.telemetry import Metrics
from tests.components.sessions.builders import with_keys
from tests.components.sessions.harness import DATABASE, SessionHarness, statement

if TYPE_CHECKING:
    from hibiscuspoint.components.sessions import Session
    from hibiscuspoint.core.organisations import Organisation
    from hibiscuspoint.core.sessions import Failure

__all__ = ["IdentityHarness"]


class IdentityHarness(SessionHarness):
    """An entry with the component that opens sessions.

    :ivar organisations: names in the demands for connections, in order.
    """

    def __init__(self, **keys: list[str]) -> None:
        super().__init__()
        self.limiter = _Limiter()
        self.metrics = Metrics()
        self.runtime = Runtime()
        self.organisations: list[str] = []
        self.service = SessionService(
            self.state,
            self.access,
            AvailabilityZone("zone-a"),
            DrainState(),
            self.clock,
            self.metrics,
            self.limiter,
        ).register(self.runtime)
        self._borrow, self.access.borrow = self.access.borrow, self._record
        if keys:
            self.configure(**keys)

    def configure(self, number: int = 2, *, is_public: bool = False, **keys: list[str]) -> None:
        """Let a configuration take effect, unless it is older than the one in force."""
        table = with_keys(self.configured, number, is_public=is_public, **keys)
        self.runtime.dispatch(update_received(self.configuration(table)))

    async def open(self, key: str) -> Session | Failure:
        """Open a session."""
        return await self.service.open(DATABASE, key)

    async def execute(self, session: Session, *texts: str) -> list[Failure | None]:
        """Run statements through the service and return their failures."""
        replies = [await self.service.execute(session, statement(text)) for text in texts]
        return [reply.error.failure if reply.error else None for reply in replies]

    def count(self, organisation: str, outcome: str) -> float:
        """Return the value of the counter of operations."""
        labels = {"organisation": organisation, "outcome": outcome}
        return self.metrics.registry.get_sample_value("hibiscuspoint_operations_total", labels)

    async def _record(self, group, member, demand):
        self.organisations.append(demand.organisation)
        return await self._borrow(group, member, demand)


class _Limiter:
    """Admits operations until it is told to refuse them."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.verdict = QuotaVerdict(True)

    async def admit_or_wait(self, organisation: Organisation) -> QuotaVerdict:
        """Decide as it was told."""
        self.asked.append(organisation.name)
        return self.verdict

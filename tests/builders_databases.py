"""Model of the databases of one group, which obey control and acknowledge commits by themselves."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from hibiscuspoint.core.control.state import GroupPhase
from hibiscuspoint.core.failover import (
    PauseReplica,
    RequestPromotion,
    ResumeReplica,
    StatusSource,
    StepDown,
    TargetStatus,
)
from hibiscuspoint.core.position import ZERO_POSITION, LogPosition
from hibiscuspoint.ids import Incarnation, TargetId, Term
from hibiscuspoint.wire import record_pb2
from tests.builders_failover import ENTRY, GROUP, GroupSimulation, started_group, target

if TYPE_CHECKING:
    from hibiscuspoint.core.control.state import GroupRecord

__all__ = ["GroupModel", "run_returned_primary"]

#: Seconds between two steps of the model.
STEP_SECONDS = 0.1

#: Steps between two polls of a database.
POLL_STEPS = 4

#: Steps before the first event, and steps after the last one in which a group has to recover.
QUIET_STEPS = 60
RECOVERY_STEPS = 300

#: Steps from a request until a promotion takes effect.
PROMOTION_STEPS = 3


@dataclass
class Database:
    """One database; a log with a later position contains one with an earlier position."""

    name: TargetId
    address: str
    term: int = 1
    position: LogPosition = LogPosition(Term(1), 10)
    is_primary: bool = False
    is_running: bool = True
    paused_term: int = 0
    incarnation: int = 1

    def status(self) -> TargetStatus:
        """Return the answer to a poll."""
        return TargetStatus(self.is_primary, Term(self.term), self.position, Term(self.paused_term))

    def follow(self, primary: Database) -> None:
        """Take over the log of a primary."""
        self.is_primary = False
        self.term, self.position = primary.term, primary.position


class GroupModel:
    """Databases of one group below one control leader after another; time passes in steps."""

    def __init__(self) -> None:
        self.databases = [
            Database(TargetId(f"i-{number}"), f"10.1.0.{number}:9000") for number in range(3)
        ]
        self.databases[0].is_primary = True
        record = started_group(primary_term=Term(1), primary=TargetId("i-0"), targets={})
        self.simulation = GroupSimulation(record)
        for database in self.databases:
            self.register(database)
        self.now = 0.0
        #: Whether the entry reports when it has to stop, instead of being killed before it does.
        self.releases = False
        self.step_number = 0
        #: Position of the last commit that a caller was told of.
        self.acknowledged = LogPosition(Term(1), 10)
        #: Promotions that took effect without an acknowledged commit.
        self.losses: list[str] = []
        self._promotions: list[tuple[int, TargetId]] = []
        self._lease_until = 0.0

    @property
    def record(self) -> GroupRecord:
        """Durable record of the group."""
        return self.simulation.record

    @property
    def primary(self) -> Database | None:
        """Running primary of the highest term."""
        found = [d for d in self.databases if d.is_running and d.is_primary]
        return max(found, key=lambda database: database.term, default=None)

    @property
    def is_served(self) -> bool:
        """Whether the recorded primary of a started term runs and leads."""
        database = self._named(self.record.primary)
        is_leading = database is not None and database.is_running and database.is_primary
        return self.record.phase is GroupPhase.STARTED and is_leading

    def register(self, database: Database) -> None:
        """Register a database with the replicated state."""
        announced = replace(
            target(database.name, incarnation=database.incarnation), address=database.address
        )
        command = record_pb2.Command(register_target=announced.to_message())
        self.simulation.state.apply(1, command)

    def lead_again(self) -> None:
        """Let another control leader take over."""
        self.simulation.lead_again(self.now)

    def come_back(self, database: Database, name: str = "", *, is_empty: bool = False) -> None:
        """Start a database again, maybe under a new id or without its log."""
        database.incarnation += 1
        database.name = TargetId(name or database.name)
        database.is_running, database.paused_term = True, 0
        newest = self.primary
        if is_empty:
            database.is_primary, database.term = False, 0
            database.position = ZERO_POSITION
        elif newest is not None and newest.term > database.term:
            database.follow(newest)

    def step(self) -> None:
        """Let one step pass."""
        self.now += STEP_SECONDS
        self.step_number += 1
        self._promote_due()
        self._commit()
        if self.step_number % POLL_STEPS == 0:
            self._poll()
        if self.record.phase is GroupPhase.STARTED:
            self.simulation.ledger.grant(GROUP, ENTRY, self.record.term, self.now)
            self._lease_until = self.now + 2.0
        elif self.record.phase is GroupPhase.SEALING:
            self._release()
        for effect in self.simulation.tick(self.now):
            self._obey(effect)

    def _release(self) -> None:
        """Let the entry report what it acknowledged and hand back its lease."""
        if self.releases:
            self._lease_until = 0.0
            self.simulation.group.record_acknowledged_position(self.acknowledged)
            self.simulation.ledger.release(GROUP, ENTRY, self.record.term)

    def _commit(self) -> None:
        for primary in self.databases:
            if not (primary.is_running and primary.is_primary):
                continue
            replicas = [
                d
                for d in self.databases
                if d.is_running
                and not d.is_primary
                and not d.paused_term
                and d.term in (0, primary.term)
            ]
            primary.position = LogPosition(Term(primary.term), primary.position.index + 1)
            for replica in replicas:
                replica.follow(primary)
            is_used = self._lease_until > self.now and primary.name == self._leased()
            if replicas and is_used:
                self.acknowledged = max(self.acknowledged, primary.position)

    def _leased(self) -> TargetId | None:
        return self.record.primary or self.record.former_primary

    def _poll(self) -> None:
        group = self.simulation.group
        for registered in list(self.record.targets.values()):
            owner = next((d for d in self.databases if d.address == registered.address), None)
            if owner is None or not owner.is_running:
                group.record_connection_refusal(registered.target, self.now)
            elif owner.name != registered.target:
                group.record_replacement(registered.target, self.now)
            else:
                group.record_heartbeat(owner.name, self.now)
                group.record_status(owner.name, owner.status(), self.now, self.now)

    def _named(self, name: TargetId | None) -> Database | None:
        return next((d for d in self.databases if d.name == name), None)

    def _obey(self, effect: object) -> None:
        group, now = self.simulation.group, self.now
        if isinstance(effect, RequestPromotion):
            database = self._named(effect.target)
            if database is None or not database.is_running:
                group.record_promotion_refusal(effect.target, now)
            elif not database.is_primary:
                self._promotions.append((self.step_number + PROMOTION_STEPS, effect.target))
            return
        if not isinstance(effect, PauseReplica | ResumeReplica | StepDown):
            return
        database = self._named(effect.member.target)
        if database is None or not database.is_running:
            return
        name = database.name
        if isinstance(effect, PauseReplica):
            if not database.is_primary and effect.term > max(database.term, database.paused_term):
                database.paused_term = effect.term
            source = StatusSource(Incarnation(database.incarnation), now)
            group.record_pause(name, database.status(), source, effect.term, now)
        elif isinstance(effect, ResumeReplica):
            database.paused_term = 0
            group.record_resumption(name)
        else:
            if database.term < effect.term:
                database.is_primary = False
            group.record_step_down(name, database.status(), effect.term, now)

    def _promote_due(self) -> None:
        due = [name for step, name in self._promotions if step <= self.step_number]
        self._promotions = [p for p in self._promotions if p[0] > self.step_number]
        for name in due:
            database = self._named(name)
            if database is None or not database.is_running or database.is_primary:
                continue
            if database.position < self.acknowledged:
                self.losses.append(f"{name} leads at {database.position}")
            term = max(d.term for d in self.databases) + 1
            database.is_primary, database.paused_term, database.term = True, 0, term
            for other in self.databases:
                if other is not database and other.is_running:
                    other.paused_term = 0
                    other.follow(database)


class _Events:
    """What befalls a group whose primary comes back while a replica is replaced."""

    def __init__(self, model: GroupModel, source: random.Random) -> None:
        self._model = model
        self._source = source
        self._primary, self._kept, self._replaced = model.databases
        self._at: list[tuple[int, int, str]] = []
        is_leaving = source.random() < 0.5
        if is_leaving:
            self._add(1, 8, "leave")
        crash = (
            self._add(50, 75, "crash_primary") if is_leaving else self._add(1, 40, "crash_primary")
        )
        back = self._add(crash + 1, crash + 25, "return_primary")
        self._add(back, back + 15, "register_primary")
        replaced = self._add(1, 60, "replace_replica")
        self._add(replaced, replaced + 10, "register_replica")
        for _ in range(source.randrange(4)):
            self._add(1, 110, "change_leader")
        if source.random() < 0.3:
            lost = self._add(1, 60, "crash_replica")
            self._add(lost + 1, lost + 30, "return_replica")
        self._at.sort()

    def play(self) -> None:
        """Let all events happen, and the time to recover pass."""
        start = self._model.step_number
        for at, _, name in self._at:
            while self._model.step_number < start + at:
                self._model.step()
            getattr(self, f"_{name}")()
        for _ in range(RECOVERY_STEPS):
            self._model.step()

    def _add(self, earliest: int, end: int, name: str) -> int:
        at = self._source.randrange(earliest, end)
        self._at.append((at, len(self._at), name))
        return at

    def _leave(self) -> None:
        record = self._model.record.targets[self._primary.name]
        self._model.record.targets[record.target] = replace(record, leaving=True)

    def _crash_primary(self) -> None:
        self._primary.is_running = False

    def _return_primary(self) -> None:
        is_renamed = self._source.random() < 0.8
        self._model.come_back(self._primary, "i-11" if is_renamed else "")

    def _register_primary(self) -> None:
        self._model.register(self._primary)

    def _replace_replica(self) -> None:
        if not self._replaced.is_primary:
            self._model.come_back(self._replaced, "i-12", is_empty=True)

    def _register_replica(self) -> None:
        self._model.register(self._replaced)

    def _change_leader(self) -> None:
        self._model.lead_again()

    def _crash_replica(self) -> None:
        if not self._kept.is_primary:
            self._kept.is_running = False

    def _return_replica(self) -> None:
        if not self._kept.is_running:
            self._model.come_back(self._kept)
            self._model.register(self._kept)


def run_returned_primary(seed: int) -> GroupModel:
    """Return a group after its primary came back, in an order of events that a seed draws."""
    source = random.Random(seed)
    model = GroupModel()
    model.record.term = Term(source.randrange(1, 4))
    model.releases = source.random() < 0.4
    for _ in range(QUIET_STEPS):
        model.step()
    _Events(model, source).play()
    return model

"""Cost of the decisions of the control leader, without network and log."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from benchmarks.registry import BENCHMARKS, Figures, Options
from hibiscuspoint.core.control import ControlLeader, ControlState, Propose
from hibiscuspoint.document import Document
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND, NANOSECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

#: Numbers of entries; groups are proportional to 197 groups at 560 entries.
SIZES = (9, 30, 90, 270, 560)
QUICK_SIZES = (9, 30)
GROUPS_PER_ENTRY = 197 / 560
MEMBERS = 3
ZONES = 5
REPORTS_PER_S = 4
ANNOUNCEMENTS_PER_S = 5
TICKS_PER_S = 10


class _Environment:
    """A leader with started groups, whose entries report what their last update said."""

    def __init__(self, entries: int) -> None:
        self.now = 100.0
        self.entries = [f"entry-{number:03}" for number in range(entries)]
        self.groups = [f"group-{n:03}" for n in range(max(1, round(entries * GROUPS_PER_ENTRY)))]
        self._updates: dict[str, peer_pb2.ControlUpdate] = {}
        self._state = ControlState()
        self.leader = ControlLeader(InstanceId("control"), 1, self._state, 0.0)
        tables = "".join(f'\n[[group]]\nname = "{name}"\n' for name in self.groups)
        text = f'environment = "benchmark"\nnumber = 1\n{tables}'
        self.leader.set_document(Document.from_text(text))
        self._start()

    @property
    def targets(self) -> list[tuple[str, int]]:
        """Return the group and number of each target."""
        return [(group, number) for group in self.groups for number in range(MEMBERS)]

    def announcement(self, group: str, number: int) -> peer_pb2.Announcement:
        """Return the announcement of a target; the first one of a group is its primary."""
        record = self._state.groups.get(group)
        term = record.term if record is not None else 0
        return peer_pb2.Announcement(
            target=f"{group}-{number}",
            group=group,
            availability_zone=f"zone-{number % ZONES}",
            address=f"{group}-{number}:1",
            term=term,
            primary=record is not None and record.primary == f"{group}-{number}",
            received=common_pb2.Position(term=term, index=1),
            slots=2,
            max_connections=16,
        )

    def report(self, number: int) -> peer_pb2.EntryReport:
        """Return the report of an entry; it had successes at each target with a share."""
        name = self.entries[number]
        update = self._updates.get(name, peer_pb2.ControlUpdate())
        report = peer_pb2.EntryReport(
            instance=name,
            incarnation=1,
            availability_zone=f"zone-{number % ZONES}",
            address=f"{name}:1",
            sent_at_ns=int(self.now * NANOSECONDS_PER_SECOND),
            document_number=1,
            holders_version=update.holders_version,
        )
        for item in update.shares:
            report.observations.append(peer_pb2.TargetObservation(target=item.target, successes=1))
            report.shares.append(
                peer_pb2.ShareUse(
                    target=item.target, allowance=item.connections, sequence=item.sequence
                )
            )
        return report

    def update(self, name: str) -> None:
        """Build the update of an entry."""
        self._updates[name] = self.leader.build_update(InstanceId(name), self.now)

    def beat(self) -> None:
        """Let 100 ms pass with reports, announcements, updates and a tick."""
        self.now += 0.1
        for target in self.targets:
            self._apply(self.leader.handle_announcement(self.announcement(*target), self.now))
        for number in range(len(self.entries)):
            self._apply(self.leader.handle_report(self.report(number), self.now))
            self.update(self.entries[number])
        self._apply(self.leader.tick(self.now))

    def _start(self) -> None:
        """Form and start the groups without the steps at the targets."""
        for group, number in self.targets:
            self.leader.handle_announcement(self.announcement(group, number), self.now)
        self._apply(self.leader.tick(self.now))
        for name, record in self._state.groups.items():
            record.term = 1
            record.primary = f"{name}-0"
            record.phase = type(record.phase).STARTED
            record.term_starts = [(1, 1)]
        for _ in range(15):
            self.beat()

    def _apply(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Propose):
                self._state.apply(0, effect.command)


def _microseconds(call: Callable[..., object], arguments: list[tuple]) -> float:
    """Return the mean time of a call."""
    started = time.process_time()
    for chosen in arguments:
        call(*chosen)
    return round(MICROSECONDS_PER_SECOND * (time.process_time() - started) / len(arguments), 1)


def _round(environment: _Environment) -> dict[str, float]:
    """Return the mean time of each kind of call within one step of 100 ms."""
    environment.now += 0.1
    now, leader = environment.now, environment.leader
    announcements = [(environment.announcement(*target), now) for target in environment.targets]
    reports = [(environment.report(number), now) for number in range(len(environment.entries))]
    updates = [(name,) for name in environment.entries]
    return {
        "announcement_us": _microseconds(leader.handle_announcement, announcements),
        "report_us": _microseconds(leader.handle_report, reports),
        "update_us": _microseconds(environment.update, updates),
        "tick_us": _microseconds(leader.tick, [(now,)]),
    }


def _measure(entries: int, rounds: int) -> Figures:
    environment = _Environment(entries)
    results = [_round(environment) for _ in range(rounds)]
    means = {name: min(result[name] for result in results) for name in results[0]}
    targets = len(environment.targets)
    seconds = (
        entries * REPORTS_PER_S * (means["report_us"] + means["update_us"])
        + targets * ANNOUNCEMENTS_PER_S * means["announcement_us"]
        + TICKS_PER_S * means["tick_us"]
    ) / MICROSECONDS_PER_SECOND
    return {
        "groups": len(environment.groups),
        "targets": targets,
        **means,
        "cpu_percent": round(100 * seconds, 2),
    }


@BENCHMARKS.register("control_core")
async def control_core(options: Options) -> Figures:
    """Measure one call of each kind at several sizes, the least mean of several rounds.

    ``cpu_percent`` is the share of one core for 4 reports and updates a second and entry,
    5 announcements a second and target, and 10 ticks a second.
    """
    sizes = QUICK_SIZES if options.quick else SIZES
    rounds = options.choose(5, 2)
    return {f"entries_{size}": _measure(size, rounds) for size in sizes}

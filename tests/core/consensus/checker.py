"""Checker of the safety properties of Raft, which only observes the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.core.consensus import Role

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.core.consensus import Entry, Member
    from tests.core.consensus.cluster import Server


class Checker:
    """Records all leaders, stored and committed entries, and acknowledged commands of a run."""

    def __init__(self) -> None:
        self.acknowledged: set[int] = set()
        self._leaders: dict[int, Member] = {}
        self._stored: dict[tuple[int, int], tuple[object, int | None]] = {}
        self._committed: dict[int, Entry] = {}

    def record_applied(self, entry: Entry, acknowledged: int | None) -> None:
        """Record an applied entry.

        :param acknowledged: number of the command if the entry acknowledges a proposal.
        """
        first = self._committed.setdefault(entry.index, entry)
        assert first == entry, f"committed entry {entry.index} changed"
        if acknowledged is not None:
            self.acknowledged.add(acknowledged)

    def check(self, servers: Iterable[Server]) -> None:
        """Check the current state of all instances."""
        running = [server for server in servers if server.node is not None]
        for server in running:
            self._check_one_leader_per_term(server)
            self._check_log_matching(server)
        leading = [server for server in running if server.is_leader]
        assert len(leading) <= 1, f"{[s.instance for s in leading]} lead at the same time"
        for server in leading:
            lost = self.acknowledged.difference(server.machine.numbers)
            assert not lost, f"leader {server.instance} lost acknowledged commands {lost}"

    def _check_one_leader_per_term(self, server: Server) -> None:
        if server.node.role is Role.LEADER:
            first = self._leaders.setdefault(server.node.term, server.node.me)
            assert first == server.node.me, f"two leaders in term {server.node.term}"

    def _check_log_matching(self, server: Server) -> None:
        log = server.node.log
        for entry in log.entries_between(log.snapshot.index, log.last_index):
            content = (entry.payload, log.term_at(entry.index - 1))
            first = self._stored.setdefault((entry.index, entry.term), content)
            assert first == content, f"entry {entry.index} differs within term {entry.term}"

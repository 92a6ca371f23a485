"""Builders of topologies and callers for system tests."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import tomli_w

from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.deployments import LEDGER
from hibiscuspoint.load.layout import Layout, document

if TYPE_CHECKING:
    from hibiscuspoint.load.topology import Topology

__all__ = ["LOSS_SHIP_DELAY_MS", "caller", "index_of", "layout", "scarce_layout", "submission"]

#: Delay of the log in tests without the loss of a primary.
SHIP_DELAY_MS = 20
#: Delay that leaves several acknowledged writes at the primary alone if no quorum is awaited.
LOSS_SHIP_DELAY_MS = 100


def layout(**changes: object) -> Layout:
    """Return a small topology: five entries, three of them with control, and three targets.

    The log travels slowly, so that a failure meets writes that no quorum holds yet.
    """
    return Layout(**{"entries": 5, "control": 3, "ship_delay_ms": SHIP_DELAY_MS, **changes})


def scarce_layout(connections: int) -> Layout:
    """Return a topology whose targets accept few connections, so that holders use all of them."""
    deployment = replace(LEDGER, slots=connections, connections=connections)
    return layout(deployment=deployment, service_time_us=10_000)


def submission(topology: Topology, number: int, **options: object) -> str:
    """Return the text of a document; options make it differ from others of its number."""
    return tomli_w.dumps(document(topology.layout, number, **options))


def caller(topology: Topology, name: str = "test") -> Caller:
    """Return a caller of all entries."""
    return Caller(topology.addresses, CallerId(name))


def index_of(topology: Topology, instance: str) -> int:
    """Return the index of an instance among the entries of a caller."""
    return list(topology.instances).index(instance)

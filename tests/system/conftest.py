"""Fixtures of tests that run real processes."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.load.topology import Topology
from tests.system.fault_proxy import FaultProxy
from tests.system.network import Network
from tests.system.slots import CONCURRENT_TOPOLOGIES, slot

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from hibiscuspoint.load.layout import Layout

#: Time of a system test in seconds; the wait of its fixtures for a slot does not count.
TIMEOUT_S = 120
#: Modules of system tests in the order of their collection, which is equal in all workers.
_modules: dict[Path, int] = {}


def pytest_itemcollected(item: pytest.Item) -> None:
    """Put the modules of system tests into as many xdist groups as may run at once.

    xdist 3.8.0 passes the group on in an attribute that pytest 9.2.0 no longer reads, so the groups
    have no effect with these versions; the slots of :mod:`tests.system.slots` enforce the limit.
    """
    number = _modules.setdefault(item.path, len(_modules)) % CONCURRENT_TOPOLOGIES
    if item.get_closest_marker("xdist_group") is None:
        item.add_marker(pytest.mark.xdist_group(f"system-{number}"))
    if item.get_closest_marker("timeout") is None:
        item.add_marker(pytest.mark.timeout(TIMEOUT_S, func_only=True))


@pytest.fixture
def topology_slot(tmp_path_factory: pytest.TempPathFactory) -> Iterator[None]:
    """Hold one of the slots of the run; a worker's base directory lies in that of the run."""
    directory = tmp_path_factory.getbasetemp()
    if "PYTEST_XDIST_WORKER" in os.environ:
        directory = directory.parent
    with slot(directory):
        yield


@pytest.fixture
def launch(tmp_path: Path, topology_slot: None) -> Iterator[Callable[..., Topology]]:
    """Return a function that creates topologies, which end with the test."""
    topologies: list[Topology] = []

    def create(layout: Layout, network: Network | None = None) -> Topology:
        directory = tmp_path / f"topology-{len(topologies)}"
        advertise = None if network is None else network.advertise
        topologies.append(Topology(layout, directory, advertise))
        if network is not None:
            network.connect(topologies[-1])
        return topologies[-1]

    yield create
    for topology in topologies:
        asyncio.run(topology.close())


@pytest.fixture
def network() -> Iterator[Network]:
    """Return a network with a fault proxy before each process; it ends with the test."""
    created = Network()
    yield created
    created.stop()


@pytest.fixture
def link() -> Iterator[Callable[[str], FaultProxy]]:
    """Return a function that puts a fault proxy before an address; it ends with the test."""
    proxies: list[FaultProxy] = []

    def create(upstream: str) -> FaultProxy:
        proxies.append(FaultProxy(upstream))
        proxies[-1].start()
        return proxies[-1]

    yield create
    for proxy in proxies:
        proxy.stop()

"""Fixtures of tests that run real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.load.topology import Topology
from tests.system.fault_proxy import FaultProxy

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hibiscuspoint.load.layout import Layout

#: Topologies of a dozen processes each; more at once would starve each other on 10 cores.
CONCURRENT_SYSTEM_TESTS = 3


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Put the modules of system tests into as many xdist groups as may run at once."""
    here = Path(__file__).parent
    system = [item for item in items if here in item.path.parents]
    modules = sorted({item.path for item in system})
    for item in system:
        if item.get_closest_marker("xdist_group") is None:
            number = modules.index(item.path) % CONCURRENT_SYSTEM_TESTS
            item.add_marker(pytest.mark.xdist_group(f"system-{number}"))


@pytest.fixture
def launch(tmp_path: Path) -> Iterator[Callable[[Layout], Topology]]:
    """Return a function that creates topologies, which end with the test."""
    topologies: list[Topology] = []

    def create(layout: Layout) -> Topology:
        topologies.append(Topology(layout, tmp_path / f"topology-{len(topologies)}"))
        return topologies[-1]

    yield create
    for topology in topologies:
        asyncio.run(topology.close())


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

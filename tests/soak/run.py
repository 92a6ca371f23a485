"""One run of the soak: callers, an operator and faults until the time is over."""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
from pathlib import Path

from tests.platform.deployment import OTHER_DATABASE, Deployment
from tests.soak.caller import Caller
from tests.soak.faults import ALL_KINDS, START_KINDS, Fault, Faults, draw_faults
from tests.soak.history import ODD_TEXTS, PLAIN_TEXTS, History
from tests.system.fault_proxy import FaultProxy

__all__ = ["CALLERS", "CONNECTIONS", "SCARCE_CONNECTIONS", "run_seed"]

#: Callers at each instance.
CALLERS = 2

#: Connections that a database accepts: enough for all, and so few that two instances hold them.
CONNECTIONS = 16
SCARCE_CONNECTIONS = 4

#: Seconds between two configurations.
CONFIGURATION_SECONDS = 1.5

#: Longest time in seconds from the last fault until every fault has ended.
RECOVERY_SECONDS = 30.0


def run_seed(
    seed: int,
    seconds: float,
    network: str,
    directory: Path | None = None,
    connections: int = CONNECTIONS,
    kinds: tuple[str, ...] = START_KINDS,
    instances: int = 3,
    callers: int = CALLERS,
) -> History:
    """Run one seed and return what was seen, with the violations.

    :param network: second and third octet of the loopback addresses.
    :param connections: connections that a database accepts; see ``Deployment``.
    :param directory: where logs are kept; a temporary one by default.
    :param kinds: faults from which the seed draws; with repeated answers, callers write odd texts.
    :param callers: callers at each instance.
    """
    with contextlib.ExitStack() as stack:
        if directory is None:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        directory.mkdir(parents=True, exist_ok=True)
        deployment = Deployment(
            directory, network, connections=connections, has_other=True, instances=instances
        )
        return asyncio.run(_run(seed, seconds, deployment, kinds, callers))


async def _run(
    seed: int, seconds: float, deployment: Deployment, kinds: tuple[str, ...], callers: int
) -> History:
    source = random.Random(seed)
    # Drawn first, so that the faults of a seed do not depend on the number of callers.
    drawn = draw_faults(source, seconds, kinds)
    has_odd_texts = kinds in (ALL_KINDS, START_KINDS)
    history = History(texts=ODD_TEXTS if has_odd_texts else PLAIN_TEXTS)
    deployment.platform.on_request = history.promotion_requested
    deployment.platform.on_lead = history.check_promoted
    proxies: list[FaultProxy] = []
    paths: list[FaultProxy] = []

    def announce(address: str) -> str:
        proxy = FaultProxy(address)
        proxy.start()
        proxies.append(proxy)
        return proxy.address

    try:
        for number in range(deployment.instances):
            path = FaultProxy(deployment.platform_address)
            path.start()
            paths.append(path)
            deployment.platform_addresses[number] = path.address
        await deployment.start(announce)
        await _play(deployment, Faults(deployment, proxies, paths), source, drawn, history, callers)
        try:
            await deployment.wait_until_ready()
            await deployment.serve(0, database=OTHER_DATABASE)
        except AssertionError as error:
            history.violations.append(f"after the faults: {error}")
            return history
        at_least = history.configuration
        version = (await deployment.read_configuration())["version"]
        history.configuration_read(version, at_least)
        for service in deployment.platform.services:
            history.check_log(deployment.platform.primary_of(service))
    finally:
        await deployment.stop()
        for proxy in (*proxies, *paths):
            proxy.stop()
    return history


async def _play(
    deployment: Deployment,
    faults: Faults,
    source: random.Random,
    drawn: list[Fault],
    history: History,
    callers: int,
) -> None:
    stop = asyncio.Event()
    for database in deployment.platform.databases:
        database.executed.clear()
    works = [_operate(deployment, history, stop)]
    for number in range(deployment.instances * callers):
        service = deployment.platform.services[number % 2]
        caller = Caller(
            deployment, history, random.Random(source.random()), service, f"item{number}"
        )
        works.append(caller.run(stop))
    tasks = [asyncio.create_task(work) for work in works]
    elapsed = 0.0
    for fault in drawn:
        await asyncio.sleep(fault.at - elapsed)
        elapsed = fault.at
        faults.start(fault)
    try:
        async with asyncio.timeout(RECOVERY_SECONDS):
            await faults.finish()
    except TimeoutError:
        history.violations.append("a database has no primary to copy the log of")
    stop.set()
    await asyncio.gather(*tasks)
    for database in deployment.platform.databases:
        history.check_runs(database)


async def _operate(deployment: Deployment, history: History, stop: asyncio.Event) -> None:
    """Submit and read configurations."""
    while not stop.is_set():
        version = await deployment.submit()
        if version is not None:
            history.configured(version)
        at_least = history.configuration
        with contextlib.suppress(ConnectionError):
            read = await deployment.read_configuration()
            history.configuration_read(read["version"], at_least)
        await asyncio.sleep(CONFIGURATION_SECONDS)

"""Faults of an experiment, applied to a launched topology."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.ids import GroupId, TargetId
from hibiscuspoint.load.experiment import FaultKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hibiscuspoint.load.experiment import Fault
    from hibiscuspoint.load.topology import Topology

__all__ = ["apply_faults"]

logger = logging.getLogger(__name__)

PRIMARY_PREFIX = "primary:"


async def apply_faults(topology: Topology, faults: Sequence[Fault]) -> None:
    """Apply each fault at its time and undo it after its duration."""
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(_apply(topology, fault))


async def _apply(topology: Topology, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    subject = await _resolve(topology, fault.subject)
    logger.info("fault %s on %s", fault.kind.value, subject)
    await _begin(topology, fault, subject)
    if fault.duration_s:
        await asyncio.sleep(fault.duration_s)
        await _end(topology, fault, subject)


async def _resolve(topology: Topology, subject: str) -> str:
    if subject == "leader":
        return await topology.leader()
    if subject.startswith(PRIMARY_PREFIX):
        return await topology.primary(GroupId(subject.removeprefix(PRIMARY_PREFIX)))
    return subject


async def _begin(topology: Topology, fault: Fault, subject: str) -> None:
    match fault.kind:
        case FaultKind.KILL:
            topology.process(subject).kill()
        case FaultKind.FREEZE:
            topology.process(subject).suspend()
        case FaultKind.LAG:
            await topology.set_fault(TargetId(subject), apply_delay_ms=fault.delay_ms)
        case FaultKind.SILENCE:
            await topology.set_fault(TargetId(subject), silence_connections=True)


async def _end(topology: Topology, fault: Fault, subject: str) -> None:
    match fault.kind:
        case FaultKind.KILL:
            topology.process(subject).start()
        case FaultKind.FREEZE:
            topology.process(subject).resume()
        case FaultKind.LAG:
            delay_ms = topology.layout.apply_delay_ms
            await topology.set_fault(TargetId(subject), apply_delay_ms=delay_ms)
        case FaultKind.SILENCE:
            await topology.set_fault(TargetId(subject), silence_connections=False)

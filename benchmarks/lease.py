"""Decision D7: writes while the control leader is lost."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from benchmarks.common import OpenLoop, gap_figures
from benchmarks.registry import BENCHMARKS, Figures, Options
from benchmarks.writes import WRITE_RATE, WriteRun
from hibiscuspoint.core.control.leases import LEASE_SECONDS
from hibiscuspoint.ids import CallerId
from hibiscuspoint.load.caller import Caller
from hibiscuspoint.load.history import Outcome
from hibiscuspoint.load.topology import Topology

#: Time after a kill in which the new leader takes over, longer than lease and election together.
TAKEOVER_S = 5.0


async def _kill_leader(topology: Topology, run: WriteRun) -> float:
    leader = await topology.leader()
    started = time.monotonic()
    topology.process(leader).kill()
    await asyncio.sleep(TAKEOVER_S)
    pause = run.pause_between(started - 1, time.monotonic())
    topology.process(leader).start()
    await topology.ready()
    return pause


async def _serving(topology: Topology) -> list[str]:
    """Return the entries that are neither control instances nor holders.

    Callers of an entry that is killed would notice its loss, which is not what is measured.
    """
    status = await topology.status()
    holders = {holder.instance for group in status.groups for holder in group.holders}
    plans = topology.instances.values()
    return [p.address for p in plans if not p.is_control and p.instance not in holders]


@BENCHMARKS.register("lease")
async def lease(options: Options) -> Figures:
    """Kill the control leader under writes; the gap is the longest pause of acknowledgements.

    A killed leader may also be a holder, whose loss interrupts writes by itself; ``leader_held``
    counts these kills.
    """
    pauses = []
    leader_held = 0
    async with Topology(options.layout(groups=1)) as topology:
        async with Caller(await _serving(topology), CallerId("lease")) as caller:
            run = WriteRun(topology, caller, topology.layout.group_ids[0])
            await run.workload.prepare(caller.session())
            async with OpenLoop(run.write, WRITE_RATE):
                await asyncio.sleep(1.0)
                for _ in range(options.choose(5, 1)):
                    status = await topology.status()
                    holders = [holder.instance for holder in status.groups[0].holders]
                    leader_held += status.leader in holders
                    pauses.append(await _kill_leader(topology, run))
    outcomes = Counter(operation.outcome for operation in run.operations)
    return {
        "lease_s": LEASE_SECONDS,
        **gap_figures(pauses),
        "leader_held": leader_held,
        "rejected": outcomes.total() - outcomes[Outcome.OK],
        "errors": dict(Counter(op.error_code for op in run.operations if op.error_code)),
    }

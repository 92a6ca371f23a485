"""Entry point of the stand-in."""

from __future__ import annotations

import asyncio
import faulthandler
import logging
import signal
import time

from hibiscuspoint.standin.announcer import Announcer
from hibiscuspoint.standin.config import StandinConfig
from hibiscuspoint.standin.faults import Faults
from hibiscuspoint.standin.server import StandinServer

__all__ = ["main"]

logger = logging.getLogger(__name__)


async def _serve(config: StandinConfig) -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    faults = Faults(
        ship_delay=config.ship_delay,
        apply_delay=config.apply_delay,
        service_time=config.service_time,
    )
    server = StandinServer(config, faults)
    await server.start()
    announcer = Announcer(
        config,
        server.engine,
        faults,
        address=config.advertise or server.address,
        incarnation=time.time_ns(),
    )
    announcing = asyncio.create_task(announcer.run())
    print(f"target {config.target} listens on {server.address}", flush=True)
    await stopping.wait()
    announcing.cancel()
    await asyncio.gather(announcing, return_exceptions=True)
    await server.stop()


def main() -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    config = StandinConfig.from_arguments()
    faulthandler.enable()
    logging.basicConfig(
        level=logging.INFO, format=f"%(asctime)s %(levelname)s {config.target} %(message)s"
    )
    asyncio.run(_serve(config))

"""Commits per second, latency and idle cost of a control group of three processes.

Run ``python -m benchmarks.control_log`` for all figures. Data directories are created below the
directory given with ``--directory`` and removed afterwards; choose one on a real disk.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import grpc
from hdrh.histogram import HdrHistogram

from hibiscuspoint.components.consensus import ReplicatedLog
from hibiscuspoint.ids import InstanceId
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND
from hibiscuspoint.wire import record_pb2
from hibiscuspoint.wire.consensus_pb2_grpc import add_ConsensusServicer_to_server

if TYPE_CHECKING:
    from asyncio.subprocess import Process

NAMES = ("a", "b", "c")
WARM_UP = 2.0
COMMAND = record_pb2.Command(
    choose_primary=record_pb2.ChoosePrimary(group="deposits", term=1, primary="deposits-1")
)


class NullStateMachine:
    """Ignores commands, so that only the log is measured."""

    def apply(self, index: int, command: record_pb2.Command) -> None:
        """Ignore a command."""

    def snapshot(self) -> bytes:
        """Return an empty state."""
        return b""

    def restore(self, data: bytes) -> None:
        """Ignore a state."""


class CountingRelay:
    """Forwards TCP connections to one port and counts the bytes of both directions."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.transferred = 0

    async def start(self) -> int:
        """Listen and return the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there = await asyncio.open_connection("127.0.0.1", self._target_port)
        except ConnectionError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, there[1]), self._copy(there[0], writer), return_exceptions=True
        )

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.transferred += len(data)
            writer.write(data)
        writer.close()


async def run_member(arguments: argparse.Namespace) -> None:
    """Run one member; the leader generates the load and prints its figures."""
    peers = {InstanceId(name): address for name, address in json.loads(arguments.peers).items()}
    log = ReplicatedLog(
        InstanceId(arguments.member), peers, Path(arguments.directory), NullStateMachine()
    )
    server = grpc.aio.server()
    add_ConsensusServicer_to_server(log.servicer, server)
    server.add_insecure_port(f"127.0.0.1:{arguments.port}")
    await server.start()
    await log.start()
    await wait_for_leader(log, arguments.member)
    await asyncio.sleep(WARM_UP)
    if arguments.concurrency:
        figures = await generate_load(log, arguments) if log.is_leader else {}
    else:
        figures = await measure_idle(log, arguments.duration)
    print(json.dumps(figures), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    await log.stop()
    await server.stop(0)


async def wait_for_leader(log: ReplicatedLog, member: str) -> None:
    """Wait until this member leads or knows another one that does."""
    is_ready = False
    while not is_ready:
        await asyncio.sleep(0.05)
        is_ready = log.is_leader or log.leader not in (None, member)


async def generate_load(log: ReplicatedLog, arguments: argparse.Namespace) -> dict[str, float]:
    """Propose from several callers for a time; latencies are in milliseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    started = time.monotonic()
    cpu_started = time.process_time()

    async def propose_repeatedly() -> None:
        while time.monotonic() - started < arguments.duration:
            sent = time.monotonic()
            await log.propose(COMMAND)
            histogram.record_value(int((time.monotonic() - sent) * MICROSECONDS_PER_SECOND))

    await asyncio.gather(*(propose_repeatedly() for _ in range(arguments.concurrency)))
    elapsed = time.monotonic() - started
    quantiles = {f"p{q:g}_ms": histogram.get_value_at_percentile(q) / 1e3 for q in (50, 99)}
    return {
        "concurrency": arguments.concurrency,
        "commits_per_s": round(histogram.get_total_count() / elapsed),
        **quantiles,
        "max_ms": histogram.get_max_value() / 1e3,
        "leader_cpu_share": round((time.process_time() - cpu_started) / elapsed, 3),
    }


async def measure_idle(log: ReplicatedLog, duration: float) -> dict[str, object]:
    """Return the share of a core that an idle member uses."""
    cpu_started = time.process_time()
    await asyncio.sleep(duration)
    share = (time.process_time() - cpu_started) / duration
    return {"role": "leader" if log.is_leader else "follower", "cpu_share": round(share, 4)}


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def measure(root: str, concurrency: int, duration: float) -> list[dict[str, object]]:
    """Run three members and return the figures they print, with the bytes when idle."""
    ports = {name: free_port() for name in NAMES}
    relays = {name: CountingRelay(port) for name, port in ports.items()} if not concurrency else {}
    addressed = {name: await relay.start() for name, relay in relays.items()} or ports
    peers = json.dumps({name: f"127.0.0.1:{port}" for name, port in addressed.items()})
    with tempfile.TemporaryDirectory(dir=root) as directory:
        members = [
            await start_member(name, ports[name], peers, directory, concurrency, duration)
            for name in NAMES
        ]
        await asyncio.sleep(WARM_UP)
        figures = await collect(members, list(relays.values()), duration)
        for member in members:
            member.stdin.close()
            await member.wait()
    return figures


async def start_member(
    name: str, port: int, peers: str, directory: str, concurrency: int, duration: float
) -> Process:
    """Start the process of one member."""
    options = {
        "member": name,
        "port": port,
        "peers": peers,
        "directory": f"{directory}/{name}",
        "concurrency": concurrency,
        "duration": duration,
    }
    pipe = asyncio.subprocess.PIPE
    arguments = [f"--{key}={value}" for key, value in options.items()]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.control_log", *arguments, stdin=pipe, stdout=pipe
    )


async def collect(
    members: list[Process], relays: list[CountingRelay], duration: float
) -> list[dict[str, object]]:
    """Read one line of figures from each member."""
    lines = asyncio.gather(*(member.stdout.readline() for member in members))
    if relays:
        await asyncio.sleep(2 * WARM_UP)
        before = sum(relay.transferred for relay in relays)
        await asyncio.sleep(duration / 2)
        rate = (sum(relay.transferred for relay in relays) - before) / (duration / 2)
    figures = [json.loads(line) for line in await lines]
    if relays:
        figures.append({"bytes_per_s_of_the_group": round(rate)})
    return [figure for figure in figures if figure]


async def run_all(arguments: argparse.Namespace) -> None:
    """Print the figures of all loads and of an idle group."""
    for concurrency in (1, 16, 128, 0):
        for figures in await measure(arguments.directory, concurrency, arguments.duration):
            print(json.dumps(figures), flush=True)


def main() -> None:
    """Run the benchmark, or one member of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--directory", default=".", help="parent of the data directories")
    parser.add_argument("--duration", type=float, default=8.0, help="seconds of each measurement")
    parser.add_argument("--member", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--peers", help=argparse.SUPPRESS)
    parser.add_argument("--concurrency", type=int, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    asyncio.run(run_member(arguments) if arguments.member else run_all(arguments))


if __name__ == "__main__":
    main()

"""A topology with mutual TLS whose certificates and authority are replaced while it serves."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
from typing import TYPE_CHECKING

import grpc
import pytest
import tomli_w
import trustme

from hibiscuspoint.cli.main import main
from hibiscuspoint.drivers import AdminError, StandinDriver
from hibiscuspoint.drivers.standin import StandinDriverConfig
from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.ids import CallerId, GroupId, RequestId
from hibiscuspoint.load.answers import statement
from hibiscuspoint.load.caller import Caller, Idempotency, Roaming
from hibiscuspoint.load.layout import Layout, document
from hibiscuspoint.load.topology import Topology, wait_until
from hibiscuspoint.security import TlsFiles
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

GROUP = GroupId("group-1")
FILES = ("certificate", "key", "ca")
PATHS = {name: f"tls/{name}.pem" for name in FILES}


def _write(directory: Path, name: str, host: str, signer: trustme.CA, *trusted: trustme.CA) -> None:
    """Write a certificate with a name and the authorities that its owner trusts."""
    directory.mkdir(parents=True, exist_ok=True)
    issued = signer.issue_cert(host, name)
    roots = b"".join(ca.cert_pem.bytes() for ca in trusted)
    contents = (issued.cert_chain_pems[0].bytes(), issued.private_key_pem.bytes(), roots)
    for file, content in zip(FILES, contents, strict=True):
        (directory / f"{file}.pem").write_bytes(content)


class Environment:
    """A launched topology with the files of everyone who connects to it.

    :param has_target_tls: whether targets serve only clients with a certificate.
    """

    def __init__(
        self, launch: Callable[[Layout], Topology], directory: Path, *, has_target_tls: bool = False
    ) -> None:
        self.directory = directory
        names = [f"instance-{number}" for number in (1, 2, 3)]
        lists = {"instances": names, "operators": ["alice"], "targets": ["targets"]}
        node_options = {"tls": {"mode": "mutual", **PATHS, **lists}}
        target_options = {f"tls-{name}": f"{directory}/targets/{name}.pem" for name in FILES}
        if has_target_tls:
            node_options["target_driver"] = {n: f"target-{PATHS[n]}" for n in FILES}
            target_options["serve-tls"] = "mutual"
        self.layout = Layout(
            entries=3,
            has_latency=False,
            has_caller_port=True,
            node_options=node_options,
            target_options=target_options,
        )
        self.topology = launch(self.layout)
        self.reloads = 0

    @property
    def callers(self) -> list[str]:
        """Return the addresses for callers."""
        return [plan.callers for plan in self.topology.instances.values()]

    def issue(self, signer: trustme.CA, *trusted: trustme.CA) -> None:
        """Write the files of all instances, the targets and the operator."""
        for name, plan in self.topology.instances.items():
            host = plan.address.partition(":")[0]
            _write(self.topology.directory / name / "tls", name, host, signer, *trusted)
            _write(self.topology.directory / name / "target-tls", name, host, signer, *trusted)
        host = next(iter(self.topology.targets.values())).address.partition(":")[0]
        for name, directory in (("targets", "targets"), ("alice", "alice")):
            _write(self.directory / directory, name, host, signer, *trusted)

    async def replace(self, signer: trustme.CA, *trusted: trustme.CA) -> None:
        """Write all files anew and wait until every instance uses them."""
        self.issue(signer, *trusted)
        self.reloads += 1

        async def is_loaded() -> bool:
            names = self.topology.instances
            return all(self._reloads(name) >= self.reloads for name in names)

        await wait_until(is_loaded, "reload of the certificates")

    def _reloads(self, instance: str) -> int:
        """Return how often an instance read the files of ``[tls]`` again."""
        found = self.events(instance, "certificate-reloaded")
        return sum(event["files"][0].endswith(f"/{PATHS['certificate']}") for event in found)

    def events(self, instance: str, event: str) -> list[dict]:
        """Return the events of one kind that an instance wrote."""
        text = (self.topology.directory / instance / "events.jsonl").read_text(encoding="utf-8")
        lines = [json.loads(line) for line in text.splitlines() if line.endswith("}")]
        return [line for line in lines if line.get("event") == event]

    def run(self, *arguments: object, name: str = "alice", status: int = 0) -> str:
        """Run the command line with someone's certificate and return what it wrote."""
        directory = self.directory / name
        shared = ["--connect", ",".join(self.topology.addresses), "--timeout", "30"]
        shared += [text for file in FILES for text in (f"--tls-{file}", directory / f"{file}.pem")]
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            returned = main([str(item) for item in (*shared, *arguments)])
        assert returned == status, output.getvalue()
        return output.getvalue()

    def apply(self, number: int) -> str:
        """Submit a document and wait until every instance reports it."""
        path = self.directory / f"{number}.toml"
        path.write_text(tomli_w.dumps(document(self.layout, number)), encoding="utf-8")
        return self.run("apply", path, "--wait")


class Writer:
    """Writes numbered rows through the caller ports until it is told to stop."""

    def __init__(self, addresses: Sequence[str], *trusted: trustme.CA) -> None:
        roots = b"".join(ca.cert_pem.bytes() for ca in trusted)
        self._caller = Caller(addresses, CallerId("writer"), grpc.ssl_channel_credentials(roots))
        self._session = self._caller.session(Roaming.EACH_REQUEST)
        self._stop = asyncio.Event()
        self.acknowledged: list[int] = []

    async def write(self, sql: str, *parameters: int) -> None:
        """Repeat one write under its id until it is acknowledged."""
        identity = Idempotency.issue(RequestId(f"{sql}-{parameters}"))

        async def is_done() -> bool:
            try:
                await self._session.write(GROUP, statement(sql, *parameters), idempotency=identity)
            except HibiscusError:
                return False
            return True

        await wait_until(is_done, sql)

    async def run(self) -> None:
        """Write until stopped."""
        while not self._stop.is_set():
            number = len(self.acknowledged)
            await self.write("INSERT INTO item VALUES (?)", number)
            self.acknowledged.append(number)

    async def progress(self) -> None:
        """Wait until further writes are acknowledged."""
        before = len(self.acknowledged)

        async def has_more() -> bool:
            return len(self.acknowledged) > before + 3

        await wait_until(has_more, "acknowledged writes")

    async def finish(self, task: asyncio.Task) -> list[int]:
        """Stop, and return the numbers that a read finds."""
        self._stop.set()
        await task
        answer = await self._session.read(GROUP, statement("SELECT id FROM item ORDER BY id"))
        await self._caller.close()
        return [number for (number,) in answer.rows]


async def _replace_authority(
    environment: Environment, old: trustme.CA, new: trustme.CA
) -> tuple[Writer, asyncio.Task]:
    """Replace the authority while writes go on, and return the writer and its running task."""
    writer = Writer(environment.callers, old, new)
    await writer.write("CREATE TABLE item (id INTEGER PRIMARY KEY)")
    task = asyncio.ensure_future(writer.run())
    for signer, trusted in ((old, (old, new)), (new, (old, new)), (new, (new,))):
        await environment.replace(signer, *trusted)
        await writer.progress()
    return writer, task


@pytest.fixture
def environment(launch: Callable[[Layout], Topology], tmp_path: Path) -> Environment:
    """Return an environment that is not started."""
    return Environment(launch, tmp_path)


def test_authority_is_replaced_while_writes_go_on(environment):
    """Guards against a renewal that needs a restart, loses a write or leaves old channels open."""
    old, new = trustme.CA(), trustme.CA()
    environment.issue(old, old)
    environment.topology.launch()
    environment.apply(1)

    async def run() -> None:
        writer, task = await _replace_authority(environment, old, new)
        # A new process trusts only the new authority, so nobody may still use the old one.
        restarted = environment.topology.process("instance-3")
        restarted.terminate()

        async def has_ended() -> bool:
            return not restarted.is_running

        await wait_until(has_ended, "stop of instance-3")
        restarted.start()
        await writer.progress()
        assert "3 of 3 instances" in await asyncio.to_thread(environment.apply, 2)
        assert await writer.finish(task) == writer.acknowledged

    asyncio.run(run())


def test_targets_with_tls_are_reached_through_a_renewal(launch, tmp_path):
    """Guards against plain text to targets, and against a promotion that fails after a renewal."""
    environment = Environment(launch, tmp_path, has_target_tls=True)
    old, new = trustme.CA(), trustme.CA()
    environment.issue(old, old)
    environment.topology.launch()
    environment.apply(1)

    async def run() -> None:
        writer, task = await _replace_authority(environment, old, new)
        # Control and holders now meet a primary to which they have no connection.
        status = json.loads(await asyncio.to_thread(environment.run, "status", "--output", "json"))
        primary = status["groups"][0]["primary"]
        environment.topology.process(primary).kill()
        await writer.progress()

        async def is_reported() -> bool:
            names = environment.topology.instances
            events = [e for n in names for e in environment.events(n, "connection-failed")]
            return primary in [event["target"] for event in events]

        await wait_until(is_reported, "report of the failed connections")
        assert await writer.finish(task) == writer.acknowledged

    asyncio.run(run())
    topology = environment.topology
    survivor = next(p for n, p in topology.targets.items() if topology.process(n).is_running)
    own = topology.directory / "instance-1" / "target-tls"
    files = TlsFiles(*(own / f"{name}.pem" for name in FILES))
    assert asyncio.run(_reaches(survivor.address, files))
    assert not asyncio.run(_reaches(survivor.address, None))
    assert not any(environment.events(n, "targets-in-plain-text") for n in topology.instances)


async def _reaches(address: str, tls: TlsFiles | None) -> bool:
    """Tell whether a driver can make a control call; sealing at term 0 changes nothing."""
    driver = StandinDriver(StandinDriverConfig(tls=tls))
    try:
        await driver.admin.seal(address, 0, timeout=30)
    except AdminError:
        return False
    finally:
        await driver.close()
    return True


def test_strangers_are_refused(environment):
    """Guards against anyone but the listed names acting on an environment."""
    ca, other = trustme.CA(), trustme.CA()
    environment.issue(ca, ca)
    environment.topology.launch()
    environment.apply(1)
    _write(environment.directory / "stranger", "stranger", "127.0.0.1", ca, ca)
    _write(environment.directory / "foreign", "alice", "127.0.0.1", other, ca)
    refused = environment.run("status", name="stranger", status=1)
    assert "HP3008" in refused
    assert "verdict: NOT_RUN" in refused
    leader = json.loads(environment.run("status", "--output", "json"))["leader"]
    found = [
        e for n in environment.topology.instances for e in environment.events(n, "peer-refused")
    ]
    assert any("stranger" in event["names"] for event in found)
    assert "HP3002" in environment.run("status", "--timeout", "1", name="foreign", status=1)
    address = environment.topology.instances[leader].address
    codes = asyncio.run(_forwarded(address, environment.directory / "alice"))
    assert codes == [grpc.StatusCode.PERMISSION_DENIED, grpc.StatusCode.UNAVAILABLE]
    # An instance that reports as another one could hand its leases back and end its writes.
    own, claimed = sorted(set(environment.topology.instances) - {leader})
    report = peer_pb2.EntryReport(instance=claimed, incarnation=2**62, draining=True)
    files = environment.topology.directory / own / "tls"
    assert asyncio.run(_reported(address, files, report)) is grpc.StatusCode.PERMISSION_DENIED
    (event,) = environment.events(leader, "identity-refused")
    assert (event["claimed"], event["names"][-1]) == (claimed, own)
    entries = json.loads(environment.run("status", "--output", "json"))["instances"]
    assert not any(entry.get("draining") for entry in entries)


async def _reported(
    address: str, directory: Path, report: peer_pb2.EntryReport
) -> grpc.StatusCode | None:
    """Return the status of a report, ``None`` when it was answered."""
    certificate, key, ca = [(directory / f"{name}.pem").read_bytes() for name in FILES]
    credentials = grpc.ssl_channel_credentials(ca, key, certificate)
    async with grpc.aio.secure_channel(address, credentials) as channel:
        call = peer_pb2_grpc.ControlStub(channel).Attach(timeout=30)
        await call.write(report)
        try:
            answer = await call.read()
        except grpc.aio.AioRpcError as error:
            return error.code()
        return await call.code() if answer is grpc.aio.EOF else None


async def _forwarded(address: str, directory: Path) -> list[grpc.StatusCode]:
    """Return the status of a forwarded request with an operator's certificate and without one."""
    certificate, key, ca = [(directory / f"{name}.pem").read_bytes() for name in FILES]
    codes = []
    for identity in ((key, certificate), (None, None)):
        credentials = grpc.ssl_channel_credentials(ca, *identity)
        options = [("grpc.use_local_subchannel_pool", 1)]
        async with grpc.aio.secure_channel(address, credentials, options=options) as channel:
            stub = peer_pb2_grpc.PeerStub(channel)
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await stub.Forward(peer_pb2.ForwardRequest(), timeout=30)
            codes.append(caught.value.code())
    return codes

"""Tests of the access of certificates to services."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import grpc
import pytest
import trustme

from hibiscuspoint.components.access import AccessInterceptor, AccessPolicy
from hibiscuspoint.components.peers import CHECK_SECONDS, PeerChannels
from hibiscuspoint.security import TlsFiles, Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.wire import (
    caller_pb2,
    caller_pb2_grpc,
    consensus_pb2,
    consensus_pb2_grpc,
    peer_pb2,
    peer_pb2_grpc,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

POLICY = AccessPolicy(frozenset({"ba-1"}), frozenset({"alice"}), frozenset({"ledger-1"}))
REFUSED = "PERMISSION_DENIED"


class _Services(
    peer_pb2_grpc.OperatorServicer,
    peer_pb2_grpc.PeerServicer,
    peer_pb2_grpc.ControlServicer,
    consensus_pb2_grpc.ConsensusServicer,
    caller_pb2_grpc.CallerServicer,
):
    async def Status(self, request, context):
        return peer_pb2.StatusReply()

    async def Forward(self, request, context):
        return peer_pb2.ForwardReply()

    async def Announce(self, request, context):
        return peer_pb2.AnnounceReply()

    async def Execute(self, request, context):
        return caller_pb2.ExecuteReply()

    async def Attach(self, requests, context):
        yield peer_pb2.ControlUpdate()

    async def Exchange(self, requests, context):
        yield consensus_pb2.Envelope()


class _Recorder(_Services):
    """Records the messages of streams that reach the services."""

    def __init__(self) -> None:
        self.taken: list[str] = []

    async def Attach(self, requests, context):
        async for report in requests:
            self.taken.append(report.instance)
            yield peer_pb2.ControlUpdate()
        # The last update of a stream that ends, as ControlService sends it.
        yield peer_pb2.ControlUpdate(redirect="10.0.0.9:7400")

    async def Exchange(self, requests, context):
        async for envelope in requests:
            self.taken.append(envelope.source.instance)
            yield consensus_pb2.Envelope()


def _report(instance: str) -> peer_pb2.EntryReport:
    return peer_pb2.EntryReport(instance=instance)


def _envelope(instance: str) -> consensus_pb2.Envelope:
    return consensus_pb2.Envelope(source=consensus_pb2.Member(instance=instance))


CLAIMS = {
    "Attach": (peer_pb2_grpc.ControlStub, _report),
    "Exchange": (consensus_pb2_grpc.ConsensusStub, _envelope),
}

CALLS = {
    "Status": (peer_pb2_grpc.OperatorStub, peer_pb2.StatusRequest),
    "Forward": (peer_pb2_grpc.PeerStub, peer_pb2.ForwardRequest),
    "Announce": (peer_pb2_grpc.ControlStub, peer_pb2.Announcement),
    "Attach": (peer_pb2_grpc.ControlStub, None),
    "Exchange": (consensus_pb2_grpc.ConsensusStub, None),
    "Execute": (caller_pb2_grpc.CallerStub, caller_pb2.ExecuteRequest),
}


def _transport(
    directory: Path, ca: trustme.CA, name: str, mode: TlsMode = TlsMode.MUTUAL
) -> Transport:
    """Write a certificate with a name and return the transport that uses it."""
    directory.mkdir(exist_ok=True)
    issued = ca.issue_cert("127.0.0.1", name)
    paths = [directory / f"{part}.pem" for part in ("certificate", "key", "ca")]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    ca.cert_pem.write_to_path(paths[2])
    return Transport(mode, TlsFiles(*paths), 65_536)


@asynccontextmanager
async def _serve(
    transport: Transport,
    *,
    for_callers: bool = False,
    policy: AccessPolicy = POLICY,
    services: _Services | None = None,
) -> AsyncIterator[str]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    interceptors = [] if for_callers else [AccessInterceptor(policy)]
    server = grpc.aio.server(interceptors=interceptors)
    services = services or _Services()
    caller_pb2_grpc.add_CallerServicer_to_server(services, server)
    if not for_callers:
        peer_pb2_grpc.add_OperatorServicer_to_server(services, server)
        peer_pb2_grpc.add_PeerServicer_to_server(services, server)
        peer_pb2_grpc.add_ControlServicer_to_server(services, server)
        consensus_pb2_grpc.add_ConsensusServicer_to_server(services, server)
    transport.bind(server, address, for_callers=for_callers)
    await server.start()
    try:
        yield address
    finally:
        await server.stop(0)


async def _outcome(channel: grpc.aio.Channel, method: str) -> str:
    stub, request = CALLS[method]
    try:
        if request is None:
            assert await getattr(stub(channel), method)(timeout=10).read() is not grpc.aio.EOF
        else:
            await getattr(stub(channel), method)(request(), timeout=10)
    except grpc.aio.AioRpcError as error:
        return error.code().name
    return "served"


def test_each_service_serves_only_the_names_of_its_list(tmp_path, caplog):
    """Guards against a certificate for one purpose that controls the whole environment."""
    ca = trustme.CA()
    granted = {
        "ba-1": set(CALLS),
        "alice": {"Status", "Execute"},
        "ledger-1": {"Announce", "Execute"},
        "stranger": {"Execute"},
    }

    async def run() -> dict[str, set[str]]:
        served = {}
        async with _serve(_transport(tmp_path / "server", ca, "ba-1")) as address:
            for name in granted:
                transport = _transport(tmp_path / name, ca, name)
                options = [("grpc.use_local_subchannel_pool", 1)]
                async with transport.channel(address, options) as channel:
                    outcomes = {method: await _outcome(channel, method) for method in CALLS}
                assert set(outcomes.values()) <= {"served", REFUSED}
                served[name] = {method for method, code in outcomes.items() if code == "served"}
        return served

    with caplog.at_level(logging.WARNING):
        assert asyncio.run(run()) == granted
    refusals = [record for record in caplog.records if record.event == "peer-refused"]
    assert len(refusals) == sum(len(CALLS) - len(methods) for methods in granted.values())
    assert refusals[-1].names[-1] == "stranger"


def test_caller_port_needs_no_certificate(tmp_path):
    """Guards against mutual TLS that locks out callers, and against other services there."""
    ca = trustme.CA()
    caller = _transport(tmp_path / "caller", ca, "anyone", TlsMode.SERVER)

    async def run() -> list[str]:
        server = _transport(tmp_path / "server", ca, "ba-1")
        async with _serve(server, for_callers=True) as address:
            async with caller.channel(address) as channel:
                return [await _outcome(channel, method) for method in ("Execute", "Status")]

    assert asyncio.run(run()) == ["served", "UNIMPLEMENTED"]


def test_channels_are_replaced_when_certificates_change(tmp_path):
    """Guards against channels that reconnect with an expired certificate."""
    ca = trustme.CA()
    transport = _transport(tmp_path / "server", ca, "ba-1")

    async def run() -> None:
        async with _serve(transport) as address:
            channels = PeerChannels(transport)
            first = channels.get(address)
            channels.tick(0.0)
            assert channels.get(address) is first
            _transport(tmp_path / "server", ca, "ba-1")
            channels.tick(CHECK_SECONDS)
            second = channels.get(address)
            assert second is not first
            # Calls that chose the first channel before the change still run.
            outcomes = [await _outcome(channel, "Forward") for channel in (first, second)]
            assert outcomes == ["served", "served"]
            await first.close()
            await channels.close()

    asyncio.run(run())


async def _claim(channel: grpc.aio.Channel, method: str, *instances: str) -> list[str]:
    """Send a message in the name of each instance and return what came back."""
    stub, build = CLAIMS[method]
    call = getattr(stub(channel), method)(timeout=10)
    outcomes = []
    for instance in instances:
        try:
            await call.write(build(instance))
            answer = await call.read()
        except grpc.aio.AioRpcError as error:
            return [*outcomes, error.code().name]
        outcomes.append("served" if answer is not grpc.aio.EOF else (await call.code()).name)
    call.cancel()
    return outcomes


@pytest.mark.parametrize("method", CLAIMS)
def test_certificate_acts_only_as_the_instance_that_it_names(tmp_path, caplog, method):
    """Guards against an instance that reports, votes or hands leases back for another one."""
    ca = trustme.CA()
    policy = AccessPolicy(frozenset({"ba-1", "ba-2", "ba-3"}), frozenset(), frozenset())
    recorder = _Recorder()

    async def run() -> list[list[str]]:
        server = _transport(tmp_path / "server", ca, "ba-1")
        client = _transport(tmp_path / "client", ca, "ba-2")
        async with _serve(server, policy=policy, services=recorder) as address:
            async with client.channel(address) as channel:
                own = await _claim(channel, method, "ba-2", "ba-2")
                # The claim is checked in each message of a stream, not only in the first one.
                changed = await _claim(channel, method, "ba-2", "ba-3")
                others = [await _claim(channel, method, name) for name in ("ba-1", "", "BA-2")]
        return [own, changed, *others]

    with caplog.at_level(logging.WARNING):
        outcomes = asyncio.run(run())
    assert outcomes == [["served", "served"], ["served", REFUSED], *[[REFUSED]] * 3]
    assert recorder.taken == ["ba-2"] * 3
    events = [record for record in caplog.records if record.event == "identity-refused"]
    assert [event.claimed for event in events] == ["ba-3", "ba-1", "", "BA-2"]
    assert all(event.names == ["127.0.0.1", "ba-2"] for event in events)


def test_name_that_is_no_listed_instance_is_no_identity():
    """Guards against an operator's certificate, or a removed instance, that acts as an instance."""
    policy = AccessPolicy(frozenset({"ba-1"}), frozenset({"alice"}), frozenset())
    assert policy.permitted_instances(["127.0.0.1", "ba-1", "ba-2", "alice"]) == {"ba-1"}

"""Tests of the TLS credentials."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import grpc
import pytest
import trustme

from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.security import TlsFiles, Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.wire import peer_pb2, peer_pb2_grpc

if TYPE_CHECKING:
    from pathlib import Path

MESSAGE_BYTES = 65_536


def _write(directory: Path, ca: trustme.CA, signer: trustme.CA | None = None) -> TlsFiles:
    """Write a certificate that ``signer`` signs, trusting ``ca``."""
    issued = (signer or ca).issue_cert("127.0.0.1")
    directory.mkdir(exist_ok=True)
    issued.cert_chain_pems[0].write_to_path(directory / "certificate.pem")
    issued.private_key_pem.write_to_path(directory / "key.pem")
    ca.cert_pem.write_to_path(directory / "ca.pem")
    return _files(directory)


def _files(directory: Path) -> TlsFiles:
    return TlsFiles(directory / "certificate.pem", directory / "key.pem", directory / "ca.pem")


class _Operator(peer_pb2_grpc.OperatorServicer):
    async def Status(self, request, context):
        return peer_pb2.StatusReply(environment="trial")


async def _call(server: Transport, *clients: Transport) -> list[str]:
    """Return the answer to each client, or the gRPC status code."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    process = grpc.aio.server(options=server.server_options)
    peer_pb2_grpc.add_OperatorServicer_to_server(_Operator(), process)
    server.bind(process, address)
    await process.start()
    outcomes = []
    for client in clients:
        # A global pool of subchannels would reuse the connection of another client.
        async with client.channel(address, [("grpc.use_local_subchannel_pool", 1)]) as channel:
            stub = peer_pb2_grpc.OperatorStub(channel)
            try:
                reply = await stub.Status(peer_pb2.StatusRequest(), timeout=10)
                outcomes.append(reply.environment)
            except grpc.aio.AioRpcError as error:
                outcomes.append(error.code().name)
    await process.stop(0)
    return outcomes


def test_mutual_tls_refuses_clients_of_another_authority(tmp_path):
    """Guards against a server that accepts a client without a certificate of its authority."""
    ca, stranger = trustme.CA(), trustme.CA()
    server = Transport(TlsMode.MUTUAL, _write(tmp_path / "server", ca), MESSAGE_BYTES)
    friend = Transport(TlsMode.MUTUAL, _write(tmp_path / "friend", ca), MESSAGE_BYTES)
    foreign_files = _write(tmp_path / "foreign", ca, signer=stranger)
    foreign = Transport(TlsMode.MUTUAL, foreign_files, MESSAGE_BYTES)
    anonymous = Transport(TlsMode.SERVER, foreign_files, MESSAGE_BYTES)
    outcomes = asyncio.run(_call(server, friend, foreign, anonymous))
    assert outcomes == ["trial", "UNAVAILABLE", "UNAVAILABLE"]


def test_changed_files_are_used_for_new_connections(tmp_path):
    """Guards against a server that keeps an expired certificate until it is restarted."""
    old, new = trustme.CA(), trustme.CA()
    server = Transport(TlsMode.SERVER, _write(tmp_path / "server", old), MESSAGE_BYTES)
    client = Transport(TlsMode.SERVER, _write(tmp_path / "client", new), MESSAGE_BYTES)
    assert asyncio.run(_call(server, client)) == ["UNAVAILABLE"]
    _write(tmp_path / "server", new)
    assert asyncio.run(_call(server, client)) == ["trial"]


def test_running_server_reloads(tmp_path):
    """Guards against a reload that only takes effect when a port is opened."""
    old, new = trustme.CA(), trustme.CA()
    server = Transport(TlsMode.SERVER, _write(tmp_path / "server", old), MESSAGE_BYTES)

    class _Rewriting(Transport):
        def channel(self, address, options=()):
            _write(tmp_path / "server", new)
            return super().channel(address, options)

    client = _Rewriting(TlsMode.SERVER, _write(tmp_path / "client", new), MESSAGE_BYTES)
    assert asyncio.run(_call(server, client)) == ["trial"]


def test_port_keeps_its_configuration_until_the_files_change(tmp_path, monkeypatch):
    """Guards against a crash of gRPC, which frees a replaced configuration too early.

    With a new configuration for each handshake, 20 connections at once ended the process.
    """
    built = []
    build = grpc.ssl_server_certificate_configuration

    def count(*arguments: object, **options: object) -> grpc.ServerCertificateConfiguration:
        built.append(arguments)
        return build(*arguments, **options)

    monkeypatch.setattr(grpc, "ssl_server_certificate_configuration", count)
    ca = trustme.CA()
    server = Transport(TlsMode.MUTUAL, _write(tmp_path / "server", ca), MESSAGE_BYTES)
    client = Transport(TlsMode.MUTUAL, _write(tmp_path / "client", ca), MESSAGE_BYTES)

    class _Rewriting(Transport):
        def channel(self, address, options=()):
            _write(tmp_path / "server", ca)
            return super().channel(address, options)

    files = _files(tmp_path / "client")
    rewriting = _Rewriting(TlsMode.MUTUAL, files, MESSAGE_BYTES)
    assert asyncio.run(_call(server, *[client] * 5)) == ["trial"] * 5
    assert len(built) == 1
    built.clear()
    assert asyncio.run(_call(server, client, rewriting, client, client)) == ["trial"] * 4
    assert len(built) == 2


def test_key_of_another_certificate_keeps_the_previous_files(tmp_path):
    """Guards against an outage while an operator replaces the files one after the other."""
    ca = trustme.CA()
    files = _write(tmp_path, ca)
    before = files.current()
    ca.issue_cert("127.0.0.1").private_key_pem.write_to_path(tmp_path / "key.pem")
    assert (files.current(), files.generation) == (before, 0)
    with pytest.raises(ConfigurationError, match="TLS files"):
        _files(tmp_path)
    _write(tmp_path, ca)
    assert (files.current() != before, files.generation) == (True, 1)

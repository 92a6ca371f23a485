"""Tests of TLS between the driver and stand-in targets."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import pytest
import trustme

from hibiscuspoint.drivers import AdminError, ConnectError, ConnectFailure, StandinDriver
from hibiscuspoint.drivers.standin import StandinDriverConfig
from hibiscuspoint.security import TlsFiles
from hibiscuspoint.standin.config import ServeTls, StandinConfig
from tests.standin.harness import CREATE, DEADLINE_S, insert, open_cluster, run, texts, until

if TYPE_CHECKING:
    from pathlib import Path

IDS = {"instance": "i", "instance_incarnation": 1}


def _write(directory: Path, signer: trustme.CA, *trusted: trustme.CA) -> tuple[Path, Path, Path]:
    """Write a certificate and the authorities that its owner trusts; return the paths."""
    directory.mkdir(exist_ok=True)
    issued = signer.issue_cert("127.0.0.1")
    paths = tuple(directory / f"{name}.pem" for name in ("certificate", "key", "ca"))
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    paths[2].write_bytes(b"".join(ca.cert_pem.bytes() for ca in trusted))
    return paths


def _served(paths: tuple[Path, Path, Path], mode: ServeTls) -> dict[str, object]:
    """Return the options of a stand-in that serves with TLS."""
    names = ("tls_certificate", "tls_key", "tls_ca")
    return {**dict(zip(names, paths, strict=True)), "serve_tls": mode}


def test_all_connections_to_targets_use_tls(tmp_path):
    """Guards against a data, watch, control or log connection that stays in plain text."""
    ca = trustme.CA()
    target, client = (_write(tmp_path / name, ca, ca) for name in ("target", "client"))

    async def scenario():
        options = _served(target, ServeTls.MUTUAL)
        async with open_cluster(
            tmp_path, "a", "b", driver_tls=TlsFiles(*client), **options
        ) as cluster:
            assert await cluster.promote("a", 1)
            connection = await cluster.connect("a")
            await run(connection, CREATE, insert(1, "x"), term=1, begin=True, commit=True)
            progress = []
            watch = cluster.driver.watch(cluster.servers["b"].address, progress.append)
            await until(lambda: progress and progress[-1].applied == 2)
            watch.close()
            assert await texts(await cluster.connect("b"), term=1) == ["x"]

    asyncio.run(scenario())


@pytest.mark.parametrize("mode", ServeTls)
def test_connections_without_trust_are_refused(tmp_path, mode):
    """Guards against statements that a stranger can read, send or answer."""
    ca, stranger = trustme.CA(), trustme.CA()
    target = _write(tmp_path / "target", ca, ca)
    clients = {
        "plain text": None,
        "no certificate": TlsFiles(None, None, _write(tmp_path / "bare", ca, ca)[2]),
        "foreign certificate": TlsFiles(*_write(tmp_path / "foreign", stranger, ca)),
        "foreign authority": TlsFiles(*_write(tmp_path / "lost", ca, stranger)),
    }

    async def outcome(tls: TlsFiles | None, address: str) -> bool:
        """Tell whether a driver can open a connection and make a control call."""
        driver = StandinDriver(StandinDriverConfig(connect_timeout=DEADLINE_S, tls=tls))
        results = []
        try:
            (await driver.connect("a", address, **IDS)).close()
            results.append(True)
        except ConnectError as error:
            assert error.failure is ConnectFailure.REFUSED
            results.append(False)
        try:
            await driver.admin.seal(address, 1, timeout=DEADLINE_S)
            results.append(True)
        except AdminError:
            results.append(False)
        await driver.close()
        assert len(set(results)) == 1
        return results[0]

    async def scenario() -> set[str]:
        async with open_cluster(tmp_path, "a", **_served(target, mode)) as cluster:
            address = cluster.servers["a"].address
            return {name for name, tls in clients.items() if await outcome(tls, address)}

    # gRPC 1.85 checks a client's certificate only when the server asks for one.
    expected = {"no certificate", "foreign certificate"} if mode is ServeTls.SERVER else set()
    assert asyncio.run(scenario()) == expected


def test_changed_files_are_used_without_a_restart(tmp_path):
    """Guards against control calls and connections that fail after a renewal."""
    old, new = trustme.CA(), trustme.CA()
    target, client = (_write(tmp_path / name, old, old) for name in ("target", "client"))

    async def scenario():
        options = _served(target, ServeTls.MUTUAL)
        async with open_cluster(tmp_path, "a", driver_tls=TlsFiles(*client), **options) as cluster:
            assert (await cluster.seal("a", 1)).sealed
            established = await cluster.connect("a")
            for name in ("target", "client"):
                _write(tmp_path / name, new, new)
            address = cluster.servers["a"].address
            trusting_old = TlsFiles(*_write(tmp_path / "late", old, old))
            late = StandinDriver(StandinDriverConfig(connect_timeout=DEADLINE_S, tls=trusting_old))
            with pytest.raises(ConnectError, match="handshake failed"):
                await late.connect("a", address, **IDS)
            await cluster.connect("a")
            # A connection of before the change goes on.
            await run(established, read_only=True)
            # A control channel with the old files could not connect to the target again.
            await cluster.start("a", await cluster.stop("a"), **options)
            assert (await cluster.seal("a", 2)).sealed

    asyncio.run(scenario())


def test_serving_needs_all_files(tmp_path, capsys):
    """Guards against a stand-in that serves in plain text although TLS was asked for."""
    required = ("--target", "a", "--group", "g", "--zone", "z", "--listen", "127.0.0.1:0")
    arguments = [*required, "--data-directory", os.fspath(tmp_path), "--serve-tls", "server"]
    with pytest.raises(SystemExit):
        StandinConfig.from_arguments(arguments)
    assert "--serve-tls needs" in capsys.readouterr().err

"""Tests of the fault-injecting proxy."""

from __future__ import annotations

import socket
import threading

import pytest

from tests.system.fault_proxy import Direction

#: Time within which a byte that passes must arrive, in seconds.
GENEROUS_S = 10.0
#: Time for which a held byte is awaited in vain, in seconds.
SILENCE_S = 0.2


@pytest.fixture
def echo():
    """Return the address of a server that returns what it receives."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        threading.Thread(target=_serve, args=(server,), daemon=True).start()
        yield f"127.0.0.1:{server.getsockname()[1]}"


def _serve(server: socket.socket) -> None:
    while True:
        try:
            client, _ = server.accept()
        except OSError:
            return
        threading.Thread(target=_echo, args=(client,), daemon=True).start()


def _echo(client: socket.socket) -> None:
    with client:
        try:
            while data := client.recv(4096):
                client.sendall(data)
        except OSError:
            return


def _connect(proxy) -> socket.socket:
    host, port = proxy.address.rsplit(":", 1)
    client = socket.create_connection((host, int(port)), timeout=GENEROUS_S)
    client.settimeout(GENEROUS_S)
    return client


def _exchange(client: socket.socket, data: bytes) -> bytes:
    client.sendall(data)
    return client.recv(len(data))


def _is_silent(client: socket.socket) -> bool:
    client.settimeout(SILENCE_S)
    try:
        client.recv(1)
    except TimeoutError:
        return True
    finally:
        client.settimeout(GENEROUS_S)
    return False


@pytest.mark.parametrize("directions", [(), (Direction.TO_SERVER,), (Direction.TO_CLIENT,)])
def test_cut_holds_bytes_until_it_heals(link, echo, directions):
    """A cut that loses bytes would break connections that survive a real partition."""
    proxy = link(echo)
    with _connect(proxy) as client:
        assert _exchange(client, b"before") == b"before"
        proxy.cut(*directions)
        client.sendall(b"during")
        assert _is_silent(client)
        proxy.heal()
        assert client.recv(6) == b"during"


def test_blackhole_silences_only_established_connections(link, echo):
    """The failure of section 1.2 needs new connections to work while old ones are silent."""
    proxy = link(echo)
    with _connect(proxy) as old:
        assert _exchange(old, b"a") == b"a"
        proxy.blackhole_established()
        old.sendall(b"b")
        assert _is_silent(old)
        with _connect(proxy) as new:
            assert _exchange(new, b"c") == b"c"


def test_reset_reaches_the_client(link, echo):
    """A reset that looks like an orderly end would test another path of the product."""
    proxy = link(echo)
    with _connect(proxy) as client:
        assert _exchange(client, b"a") == b"a"
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            client.recv(1)


def test_refuse_and_heal_keep_the_address(link, echo):
    """A healed link at another address would stay unreachable for the processes under test."""
    proxy = link(echo)
    address = proxy.address
    proxy.refuse()
    with pytest.raises(ConnectionRefusedError):
        _connect(proxy)
    proxy.heal()
    assert proxy.address == address
    with _connect(proxy) as client:
        assert _exchange(client, b"a") == b"a"


def test_delay_holds_each_chunk(link, echo):
    """A delay that is not applied would make tests of late answers pass for no reason."""
    proxy = link(echo)
    proxy.delay(SILENCE_S * 2)
    with _connect(proxy) as client:
        client.sendall(b"a")
        assert _is_silent(client)
        assert client.recv(1) == b"a"

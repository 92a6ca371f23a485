"""Tests of the byte counters of sockets."""

from __future__ import annotations

import os
import socket

import pytest

from benchmarks.sockets import process_bytes, socket_bytes


@pytest.mark.parametrize("dual_stack", [False, True])
def test_bytes_of_a_connection_are_counted(dual_stack):
    """Wrong offsets in the kernel's structures would yield plausible but wrong rates.

    gRPC listens on IPv6 sockets that also accept IPv4, which were not counted.
    """
    family = socket.AF_INET6 if dual_stack else socket.AF_INET
    host = "" if dual_stack else "127.0.0.1"
    with socket.create_server((host, 0), family=family, dualstack_ipv6=dual_stack) as server:
        with socket.create_connection(("127.0.0.1", server.getsockname()[1])) as client:
            peer, _ = server.accept()
            with peer:
                before = socket_bytes()
                client.sendall(b"x" * 10_000)
                received = 0
                while received < 10_000:
                    received += len(peer.recv(65536))
                peer.sendall(b"y")
                client.recv(1)
                after = socket_bytes()
                inode = os.fstat(peer.fileno()).st_ino
                assert after[inode] - before[inode] in (10_000, 10_001)
                # Both ends belong to this process; the last byte may not be acknowledged yet.
                grown = process_bytes(os.getpid(), after) - process_bytes(os.getpid(), before)
                assert 20_000 <= grown <= 20_002

"""Tests of the byte counters of sockets."""

from __future__ import annotations

import os
import socket

from benchmarks.sockets import process_bytes, socket_bytes


def test_bytes_of_a_connection_are_counted():
    """Wrong offsets in the kernel's structures would yield plausible but wrong rates."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as client:
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

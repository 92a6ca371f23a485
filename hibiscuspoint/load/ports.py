"""Addresses for processes on the loopback interface."""

from __future__ import annotations

import os
import socket

__all__ = ["PortAllocator", "loopback_address"]


def loopback_address() -> str:
    """Return a loopback address that no other live process uses for its children.

    The process id is part of the address, so launchers that run at the same time never clash.
    Connections leave from 127.0.0.1, so their ports cannot take the port of a process that is
    started again either.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 256}"


class PortAllocator:
    """Hands out free ports, each only once.

    :param host: loopback address.
    """

    def __init__(self, host: str | None = None) -> None:
        self._host = host or loopback_address()
        self._taken: set[int] = set()

    @property
    def host(self) -> str:
        """Return the loopback address of the ports."""
        return self._host

    def address(self) -> str:
        """Return ``ip:port`` with a port that the kernel reported as free."""
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((self._host, 0))
                port = probe.getsockname()[1]
            if port not in self._taken:
                self._taken.add(port)
                return f"{self._host}:{port}"

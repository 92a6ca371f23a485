"""Network between the processes of a topology: one fault proxy before each of them."""

from __future__ import annotations

import os
import socket
import struct
from typing import TYPE_CHECKING

from tests.system.fault_proxy import FaultProxy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hibiscuspoint.load.topology import Topology

__all__ = ["Network"]


#: Constants of the socket diagnosis of Linux, see sock_diag(7).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
HEADER_BYTES = 16
INODE_OFFSET = 68


class Network:
    """Links between processes, cut by the names of both ends.

    Callers use the listen addresses, so no fault here separates them from an entry.
    """

    def __init__(self) -> None:
        self._proxies: dict[str, FaultProxy] = {}
        self._topology: Topology | None = None

    def advertise(self, name: str, address: str) -> str:
        """Put a proxy before a process and return its address."""
        proxy = FaultProxy(address, identify=self._name_of)
        proxy.start()
        self._proxies[name] = proxy
        return proxy.address

    def connect(self, topology: Topology) -> None:
        """Take the topology whose processes connect through the proxies."""
        self._topology = topology

    def cut(self, sources: Iterable[str], destinations: Iterable[str]) -> None:
        """Cut the connections that some processes open to others, in both directions."""
        names = list(sources)
        for destination in destinations:
            self._proxies[destination].cut_sources(name for name in names if name != destination)

    def isolate(self, names: Iterable[str]) -> None:
        """Cut a side off from all other processes."""
        side = set(names)
        rest = self._proxies.keys() - side
        self.cut(side, rest)
        self.cut(rest, side)

    def silence(self, sources: Iterable[str], destinations: Iterable[str]) -> int:
        """Silence established connections for ever, and return their number; new ones work."""
        names = list(sources)
        return sum(self._proxies[name].blackhole_established(names) for name in destinations)

    def heal(self) -> None:
        """End all cuts."""
        for proxy in self._proxies.values():
            proxy.heal()

    def stop(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.stop()

    def _name_of(self, client: tuple[str, int], server: tuple[str, int]) -> str:
        """Return the name of the process that opened a connection; empty if it is none of ours."""
        inode = _inode_of(client, server)
        for name in self._proxies if inode else ():
            process = self._topology.process(name)
            if process.is_running and _owns(process.pid, inode):
                return name
        return ""


def _inode_of(client: tuple[str, int], server: tuple[str, int]) -> int:
    """Return the inode of the client's socket of a local connection; 0 if there is none.

    The kernel is asked for this one socket, because reading the whole table of ``/proc/net/tcp``
    takes 18 ms with 5,000 sockets, and each connection of a topology needs it.
    """
    addresses = socket.inet_aton(client[0]) + bytes(12) + socket.inet_aton(server[0]) + bytes(12)
    wanted = struct.pack("!HH", client[1], server[1]) + addresses + bytes(4) + b"\xff" * 8
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES) + wanted
    header = struct.pack(
        "=IHHII", HEADER_BYTES + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as link:
        link.send(header + request)
        answer = link.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, HEADER_BYTES + INODE_OFFSET)[0]


def _owns(pid: int, inode: int) -> bool:
    directory = f"/proc/{pid}/fd"
    try:
        descriptors = os.listdir(directory)
    except OSError:
        return False
    for descriptor in descriptors:
        try:
            if os.readlink(f"{directory}/{descriptor}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False

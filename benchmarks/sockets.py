"""Bytes that the TCP sockets of a process have carried, from the kernel's socket diagnosis.

``/proc/PID/io`` does not count ``sendmsg`` and ``recvmsg``, and no declared library reads these
counters. The structures are those of ``linux/inet_diag.h`` and ``linux/tcp.h``.
"""

from __future__ import annotations

import os
import re
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["process_bytes", "socket_bytes"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST_DUMP = 0x301
NLMSG_ERROR = 2
NLMSG_DONE = 3
INET_DIAG_INFO = 2
TCP_ESTABLISHED_MASK = 1 << 1
RECEIVE_BYTES = 1 << 18

_HEADER = struct.Struct("=LHHLL")
_REQUEST = struct.Struct("=BBBBL48s")
_ATTRIBUTE = struct.Struct("=HH")
#: Size of ``inet_diag_msg`` and offset of the inode in it.
_MESSAGE_BYTES = 72
_INODE_OFFSET = 68
#: Offsets of ``tcpi_bytes_acked`` and ``tcpi_bytes_received`` in ``tcp_info``.
_ACKED_OFFSET = 120
_COUNTERS = struct.Struct("=QQ")
_SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")


def socket_bytes() -> dict[int, int]:
    """Return the bytes sent and received by each established TCP socket, by inode.

    gRPC uses IPv6 sockets for IPv4 addresses, too.
    """
    return _family_bytes(socket.AF_INET) | _family_bytes(socket.AF_INET6)


def _family_bytes(family: socket.AddressFamily) -> dict[int, int]:
    body = _REQUEST.pack(
        family,
        socket.IPPROTO_TCP,
        1 << (INET_DIAG_INFO - 1),
        0,
        TCP_ESTABLISHED_MASK,
        bytes(48),
    )
    header = _HEADER.pack(_HEADER.size + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.sendto(header + body, (0, 0))
        return dict(_counters(message) for message in _messages(netlink))


def process_bytes(pid: int, counters: dict[int, int]) -> int:
    """Return the bytes that the sockets of a process carried."""
    directory = f"/proc/{pid}/fd"
    total = 0
    for name in os.listdir(directory):
        try:
            match = _SOCKET_LINK.fullmatch(os.readlink(f"{directory}/{name}"))
        except FileNotFoundError:
            continue
        if match:
            total += counters.get(int(match.group(1)), 0)
    return total


def _messages(netlink: socket.socket) -> Iterator[bytes]:
    while True:
        data = netlink.recv(RECEIVE_BYTES)
        while data:
            length, kind, *_ = _HEADER.unpack_from(data)
            if kind == NLMSG_DONE:
                return
            if kind == NLMSG_ERROR:
                raise OSError("the kernel rejected the socket diagnosis")
            yield data[_HEADER.size : length]
            data = data[(length + 3) & ~3 :]


def _counters(message: bytes) -> tuple[int, int]:
    inode = struct.unpack_from("=L", message, _INODE_OFFSET)[0]
    attributes = message[_MESSAGE_BYTES:]
    while len(attributes) >= _ATTRIBUTE.size:
        length, kind = _ATTRIBUTE.unpack_from(attributes)
        if kind == INET_DIAG_INFO and length >= _ACKED_OFFSET + _COUNTERS.size:
            return inode, sum(_COUNTERS.unpack_from(attributes, _ATTRIBUTE.size + _ACKED_OFFSET))
        attributes = attributes[max(_ATTRIBUTE.size, (length + 3) & ~3) :]
    return inode, 0

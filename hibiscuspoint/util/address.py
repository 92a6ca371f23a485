"""Addresses of the form "ip:port"; host names are not accepted."""

from __future__ import annotations

import ipaddress

__all__ = ["parse_address"]

_MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Split "ip:port" or "[ip6]:port" into the IP number and the port.

    :raises ValueError: the host is not an IP number or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        literal = host[1:-1]
        ipaddress.IPv6Address(literal)
    else:
        literal = host
        ipaddress.IPv4Address(literal)
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > 5:
        raise ValueError(f"{text!r} has no port number")
    if not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"port {port} is not within 1 to {_MAX_PORT}")
    return literal, int(port)

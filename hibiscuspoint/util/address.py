"""Addresses of the form "ip:port"; host names are not accepted."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import AfterValidator

__all__ = ["Address", "PeerAddress", "parse_address"]

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


def _canonical(text: str) -> str:
    """Return the one spelling of an address, so that addresses can be compared as text."""
    try:
        host, port = parse_address(text)
    except ValueError as error:
        raise ValueError(f"is not an address of the form ip:port: {error}") from None
    ip = ipaddress.ip_address(host)
    return f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"


def _reachable(text: str) -> str:
    ip = ipaddress.ip_address(parse_address(text)[0])
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{ip} is not an address to which another instance can connect")
    return text


#: An address on which a process listens.
Address = Annotated[str, AfterValidator(_canonical)]
#: An address that other instances connect to.
PeerAddress = Annotated[Address, AfterValidator(_reachable)]

"""Types of settings that hold an address."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import AfterValidator

from hibiscuspoint.util.address import parse_address

__all__ = ["Address", "PeerAddress"]


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

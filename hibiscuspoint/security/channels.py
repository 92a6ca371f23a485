"""Channels with TLS or in plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hibiscuspoint.util.channels import open_channel

if TYPE_CHECKING:
    import grpc

    from hibiscuspoint.security.tls import TlsFiles

__all__ = ["open_secured_channel"]


def open_secured_channel(
    address: str, tls: TlsFiles | None, options: tuple[tuple[str, int], ...] = ()
) -> grpc.aio.Channel:
    """Return a channel with its own TCP connection.

    :param tls: certificate files, used as they are now; ``None`` for plain text.
    """
    credentials = tls.channel_credentials() if tls is not None else None
    return open_channel(address, credentials, options)

"""gRPC channel and server options shared by stand-ins and drivers."""

from __future__ import annotations

import grpc

__all__ = ["CHANNEL_OPTIONS", "SERVER_OPTIONS", "open_channel"]

MAX_MESSAGE_BYTES = 64 * 1024 * 1024

CHANNEL_OPTIONS: tuple[tuple[str, int], ...] = (
    # Each channel has a TCP connection of its own.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # The time granted to an attempt to connect, not a wait. With less than the connect timeout of a
    # target, 1 s, a target that is slow to accept looks like one that refuses connections.
    ("grpc.min_reconnect_backoff_ms", 1500),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)

SERVER_OPTIONS: tuple[tuple[str, int], ...] = (
    # With port reuse two stand-ins could listen on one port.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 100),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


def open_channel(
    address: str,
    credentials: grpc.ChannelCredentials | None = None,
    options: tuple[tuple[str, int], ...] = (),
) -> grpc.aio.Channel:
    """Return a channel with its own TCP connection; plain text without credentials."""
    if credentials is None:
        return grpc.aio.insecure_channel(address, CHANNEL_OPTIONS + options)
    return grpc.aio.secure_channel(address, credentials, CHANNEL_OPTIONS + options)

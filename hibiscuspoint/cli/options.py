"""Options that all commands share."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import TYPE_CHECKING

import shtab

from hibiscuspoint.cli.client import Client
from hibiscuspoint.cli.errors import UsageError
from hibiscuspoint.security import TlsFiles, Transport
from hibiscuspoint.settings import TlsMode
from hibiscuspoint.util.address import parse_address

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "add_file_argument",
    "add_shared_options",
    "add_wait_options",
    "addresses",
    "open_client",
    "positive_seconds",
]

#: Documents and results are small; the limit of the entries is the one that counts.
MESSAGE_BYTES = 64 * 1024 * 1024
#: Default of --timeout in seconds.
DEFAULT_TIMEOUT = 10.0
#: Default of --wait-seconds.
DEFAULT_WAIT = 60.0


def addresses(text: str) -> list[str]:
    """Split "ip:port[,ip:port]"."""
    found = text.split(",")
    for address in found:
        try:
            parse_address(address)
        except ValueError as error:
            raise argparse.ArgumentTypeError(f"{address!r} is not ip:port: {error}") from None
    return found


def positive_seconds(text: str) -> float:
    """Parse a positive number of seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds < 1e9:
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive number of seconds")
    return seconds


def add_shared_options(parser: argparse.ArgumentParser, *, with_defaults: bool) -> None:
    """Add the options that may stand before or after the name of the command.

    :param with_defaults: false for a command, so that it keeps a value given before its name.
    """
    group = parser.add_argument_group("connection and output")

    def add(*flags: str, default: object = None, **rest: object) -> argparse.Action:
        chosen = default if with_defaults else argparse.SUPPRESS
        return group.add_argument(*flags, default=chosen, **rest)

    add("--connect", type=addresses, metavar="IP:PORT[,IP:PORT]", help="instances to call")
    add("--output", choices=["text", "json"], default="text", help="form of the output")
    add(
        "--timeout",
        type=positive_seconds,
        default=DEFAULT_TIMEOUT,
        metavar="SECONDS",
        help=f"time for a reply, over all instances (default {DEFAULT_TIMEOUT:g})",
    )
    for flag, text in (
        ("--tls-ca", "PEM file of the authorities that sign the instances"),
        ("--tls-certificate", "PEM file of the own certificate, for mutual TLS"),
        ("--tls-key", "PEM file of the own private key, for mutual TLS"),
    ):
        add(flag, type=Path, metavar="FILE", help=text).complete = shtab.FILE
    add("--plain-text", action="store_true", default=False, help="connect without TLS")


def add_file_argument(parser: argparse.ArgumentParser, name: str, text: str) -> None:
    """Add a positional file."""
    parser.add_argument(name, type=Path, metavar="FILE", help=text).complete = shtab.FILE


def add_wait_options(parser: argparse.ArgumentParser, text: str) -> None:
    """Add ``--wait`` and its time limit."""
    parser.add_argument("--wait", action="store_true", help=text)
    parser.add_argument(
        "--wait-seconds",
        type=positive_seconds,
        default=DEFAULT_WAIT,
        metavar="SECONDS",
        help=f"limit of --wait (default {DEFAULT_WAIT:g})",
    )


def open_client(args: argparse.Namespace, connect: Sequence[str] | None) -> Client:
    """Return a client for addresses.

    :raises UsageError: no address is named, or the TLS options contradict each other.
    :raises ConfigurationError: a TLS file is not valid.
    """
    if not connect:
        raise UsageError("no instance is named; --connect is missing")
    return Client(connect, _transport(args), args.timeout)


def _transport(args: argparse.Namespace) -> Transport:
    files = (args.tls_certificate, args.tls_key, args.tls_ca)
    if args.plain_text:
        if any(files):
            raise UsageError("--plain-text contradicts the --tls options")
        return Transport(TlsMode.PLAIN_TEXT, None, MESSAGE_BYTES)
    if (args.tls_certificate is None) != (args.tls_key is None):
        raise UsageError("--tls-certificate and --tls-key need each other")
    mode = TlsMode.SERVER if args.tls_certificate is None else TlsMode.MUTUAL
    return Transport(mode, TlsFiles(*files), MESSAGE_BYTES)

"""Command-line flags of a stand-in."""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from hibiscuspoint.ids import AvailabilityZone, GroupId, TargetId
from hibiscuspoint.security import TlsFiles
from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["ServeTls", "StandinConfig", "build_parser"]

DEFAULT_CONNECT_DELAY_MS = 10


class ServeTls(Enum):
    """Protection of the port of a target."""

    SERVER = "server"
    MUTUAL = "mutual"


@dataclass(frozen=True)
class StandinConfig:
    """Identity, limits and delays of a target; delays are in seconds."""

    target: TargetId
    group: GroupId
    zone: AvailabilityZone
    listen: str
    data_directory: Path
    announce: tuple[str, ...] = ()
    advertise: str = ""
    slots: int = 2
    connections: int = 16
    service_time: float = 0.0
    ship_delay: float = 0.0
    apply_delay: float = 0.0
    connect_delay: float = DEFAULT_CONNECT_DELAY_MS / MILLISECONDS_PER_SECOND
    one_way_delay: float = 0.0
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    tls_ca: Path | None = None
    serve_tls: ServeTls | None = None

    def tls_files(self) -> TlsFiles | None:
        """Return the certificate files, ``None`` when none are named.

        :raises ConfigurationError: the files are not valid.
        """
        if self.tls_certificate is None:
            return None
        return TlsFiles(self.tls_certificate, self.tls_key, self.tls_ca)

    @classmethod
    def from_arguments(cls, arguments: Sequence[str] | None = None) -> StandinConfig:
        """Return the configuration of a command line.

        :raises SystemExit: the arguments are not valid.
        """
        parser = build_parser()
        flags = parser.parse_args(arguments)
        files = (flags.tls_certificate, flags.tls_key, flags.tls_ca)
        if flags.serve_tls and None in files:
            parser.error("--serve-tls needs --tls-certificate, --tls-key and --tls-ca")
        return cls(
            target=TargetId(flags.target),
            group=GroupId(flags.group),
            zone=AvailabilityZone(flags.zone),
            listen=flags.listen,
            data_directory=flags.data_directory,
            announce=tuple(address for address in flags.announce.split(",") if address),
            advertise=flags.advertise,
            slots=flags.slots,
            connections=flags.connections,
            service_time=flags.service_time_us / MICROSECONDS_PER_SECOND,
            ship_delay=flags.ship_delay_ms / MILLISECONDS_PER_SECOND,
            apply_delay=flags.apply_delay_ms / MILLISECONDS_PER_SECOND,
            connect_delay=flags.connect_delay_ms / MILLISECONDS_PER_SECOND,
            one_way_delay=flags.one_way_delay_ms / MILLISECONDS_PER_SECOND,
            tls_certificate=flags.tls_certificate,
            tls_key=flags.tls_key,
            tls_ca=flags.tls_ca,
            serve_tls=ServeTls(flags.serve_tls) if flags.serve_tls else None,
        )


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="hibiscuspoint-standin", description="Simulate a database target."
    )
    parser.add_argument("--target", required=True, help="id of the target")
    parser.add_argument("--group", required=True, help="id of its database group")
    parser.add_argument("--zone", required=True, help="its availability zone")
    parser.add_argument("--listen", required=True, metavar="IP:PORT", help="port 0: any free port")
    parser.add_argument("--data-directory", required=True, type=Path)
    parser.add_argument(
        "--announce", default="", metavar="IP:PORT,...", help="hibiscuspoint instances"
    )
    parser.add_argument(
        "--advertise",
        default="",
        metavar="IP:PORT",
        help="announced address, if not the listen one",
    )
    parser.add_argument("--slots", type=_positive, default=2, help="statements executed at once")
    parser.add_argument("--connections", type=_positive, default=16, help="connection limit")
    for name, help_text, default in (
        ("service-time-us", "time that a statement takes in its slot", 0),
        ("ship-delay-ms", "delay before a record is sent to a follower", 0),
        ("apply-delay-ms", "delay before a follower applies a record", 0),
        ("connect-delay-ms", "time that a new connection takes", DEFAULT_CONNECT_DELAY_MS),
        ("one-way-delay-ms", "network delay added to each answer", 0),
    ):
        parser.add_argument(f"--{name}", type=_not_negative, default=default, help=help_text)
    for name in ("certificate", "key", "ca"):
        text = f"PEM file of the {name} for announcements; plain text without the three"
        parser.add_argument(f"--tls-{name}", type=Path, help=text)
    parser.add_argument(
        "--serve-tls",
        choices=[mode.value for mode in ServeTls],
        help="serve and ship the log with TLS; mutual: only clients with a certificate",
    )
    return parser


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError(f"{text} is not positive")
    return number


def _not_negative(text: str) -> float:
    number = float(text)
    if number < 0:
        raise argparse.ArgumentTypeError(f"{text} is negative")
    return number

"""Models of ``node.toml``."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

from pydantic import Field, StringConstraints, field_validator, model_validator

from hibiscuspoint.core.consensus.timing import DEFAULT_COMPACTION_ENTRIES

# pydantic evaluates the annotations at run time, so these imports are needed then.
from hibiscuspoint.settings.paths import SettingsPath
from hibiscuspoint.settings.security import SessionSettings, TlsMode, TlsSettings, check_files
from hibiscuspoint.util.address_fields import Address, PeerAddress
from hibiscuspoint.util.schema import (
    Problem,
    StrictModel,
    configuration_error,
    inspect,
    option,
    parse_toml,
    read_text,
)

__all__ = [
    "DEFAULT_COMPACTION_ENTRIES",
    "ControlSettings",
    "LimitSettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "NodeIdentity",
    "NodeSettings",
    "Role",
    "TargetDriverSettings",
]

CONTROL_SIZES = (1, 3, 5)
_NAME_RULE = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]


class Role(Enum):
    """Function that an instance performs."""

    ENTRY = "entry"
    CONTROL = "control"


class LogLevel(Enum):
    """Lowest level of events that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class NodeIdentity(StrictModel):
    """Name and place of the instance."""

    instance: Name = option(
        doc="Identifier of the instance, unique in the environment.", allowed=_NAME_RULE
    )
    availability_zone: Name = option(doc="Availability zone of the instance.", allowed=_NAME_RULE)
    region: Name = option(doc="Region of the instance.", allowed=_NAME_RULE)
    environment: Name = option(
        doc="Environment; documents of another environment are refused.", allowed=_NAME_RULE
    )
    roles: tuple[Annotated[Role, Field(strict=False)], ...] = option(
        (Role.ENTRY,),
        strict=False,
        doc="Roles of the instance.",
        allowed='["entry"] or ["entry", "control"]',
    )

    @property
    def is_control(self) -> bool:
        """Tell whether the instance votes in the control group."""
        return Role.CONTROL in self.roles

    @field_validator("roles")
    @classmethod
    def _check_roles(cls, roles: tuple[Role, ...]) -> tuple[Role, ...]:
        if Role.ENTRY not in roles:
            raise ValueError("does not contain 'entry'")
        if len(set(roles)) != len(roles):
            raise ValueError("names a role twice")
        return roles


class ListenSettings(StrictModel):
    """Addresses on which the process listens."""

    address: PeerAddress = option(
        doc="Address of the gRPC services Peer, Control, Operator and Consensus, and of Caller "
        "unless callers is set.",
        allowed="ip:port with the IP number that other instances use and a port within 1 to 65535",
    )
    http: Address = option(
        doc="Address of /metrics, /healthz and /readyz.",
        allowed="ip:port with an IP number and a port within 1 to 65535",
    )
    callers: Address | None = option(
        None,
        doc="Address of the Caller service alone; callers need no certificate there.",
        allowed="ip:port with an IP number and a port within 1 to 65535",
    )
    advertise: Address | None = option(
        None,
        doc="Address that other processes use to reach this one; the listen address by default.",
        allowed="ip:port with an IP number and a port within 1 to 65535",
    )

    @property
    def advertised_address(self) -> str:
        """Return the address that other processes connect to."""
        return self.advertise or self.address

    @model_validator(mode="after")
    def _check_distinct(self) -> ListenSettings:
        if self.address == self.http:
            raise ValueError("address and http are equal")
        if self.callers in (self.address, self.http):
            raise ValueError("callers is equal to address or http")
        return self


class ControlSettings(StrictModel):
    """Members of the control group and storage of the control log."""

    members: dict[Name, PeerAddress] = option(
        doc="Instance id and gRPC address of every control instance.",
        allowed='1, 3 or 5 entries of instance = "ip:port"',
    )
    data_directory: SettingsPath | None = option(
        None,
        doc="Directory of the control log; required with the role control.",
        allowed="path, relative to the settings file",
    )
    compaction_entries: int = option(
        DEFAULT_COMPACTION_ENTRIES,
        doc="Applied entries of the control log after which a snapshot replaces them.",
        unit="entries",
        ge=10,
        le=100_000,
    )

    @field_validator("members")
    @classmethod
    def _check_members(cls, members: dict[str, str]) -> dict[str, str]:
        if len(members) not in CONTROL_SIZES:
            raise ValueError(f"has {len(members)} entries")
        if len(set(members.values())) != len(members):
            raise ValueError("names an address twice")
        return members


class LogSettings(StrictModel):
    """Level and destination of log events."""

    level: LogLevel = option(
        LogLevel.INFO,
        strict=False,
        doc="Lowest level of events that are written.",
        allowed="debug, info, warning, error",
    )
    file: SettingsPath | None = option(
        None,
        doc="File of the events as JSON lines; standard error without it.",
        allowed="path, relative to the settings file",
    )


class LimitSettings(StrictModel):
    """Limits that protect the process from one caller."""

    message_bytes: int = option(
        4_194_304, doc="Largest gRPC message.", unit="bytes", ge=65_536, le=67_108_864
    )
    statement_bytes: int = option(
        65_536, doc="Longest statement text.", unit="bytes", ge=1_024, le=16_777_216
    )
    open_transactions_per_caller: int = option(
        16,
        doc="Interactive transactions that one caller may have open.",
        unit="transactions",
        ge=1,
        le=10_000,
    )
    first_request_seconds: float = option(
        10.0,
        doc="Time within which a new transaction stream must send its first request.",
        unit="s",
        ge=0.1,
        le=600.0,
    )

    @model_validator(mode="after")
    def _check_sizes(self) -> LimitSettings:
        if self.statement_bytes > self.message_bytes:
            raise ValueError("statement_bytes is larger than message_bytes")
        return self


class TargetDriverSettings(StrictModel):
    """Driver and TLS files for connections to targets."""

    kind: Name = option("standin", doc="Registered name of the target driver.", allowed="standin")
    ca: SettingsPath | None = option(
        None,
        doc="PEM file with the authorities that sign the targets' certificates. With it, every "
        "connection to a target uses TLS, and the certificate of a target must name the IP number "
        "that the target announces; without it, connections to targets are plain text, which is "
        "reported by a warning event.",
        allowed="path, relative to the settings file",
    )
    certificate: SettingsPath | None = option(
        None,
        doc="PEM file with the certificate chain that is shown to targets.",
        allowed="path; only with ca and key",
    )
    key: SettingsPath | None = option(
        None,
        doc="PEM file with the private key of that certificate.",
        allowed="path; only with ca and certificate",
    )

    @field_validator("kind")
    @classmethod
    def _check_kind(cls, kind: str) -> str:
        if kind != "standin":
            raise ValueError("is not the name of a target driver")
        return kind

    @model_validator(mode="after")
    def _check_files(self) -> TargetDriverSettings:
        if (self.certificate is None) != (self.key is None):
            raise ValueError("certificate and key need each other")
        if self.certificate is not None and self.ca is None:
            raise ValueError("certificate and key are only used with ca")
        check_files(self.ca, self.certificate, self.key)
        return self


class NodeSettings(StrictModel):
    """Settings of one instance."""

    node: NodeIdentity = option(doc="Name and place of the instance.")
    listen: ListenSettings = option(doc="Addresses on which the process listens.")
    control: ControlSettings = option(doc="The control group.")
    session: SessionSettings = option(doc="Keys of session tokens.")
    tls: TlsSettings = option(doc="Protection of connections.")
    log: LogSettings = option(LogSettings(), doc="Log of events.")
    limits: LimitSettings = option(LimitSettings(), doc="Limits for callers.")
    target_driver: TargetDriverSettings = option(TargetDriverSettings(), doc="Access to targets.")

    @classmethod
    def from_file(cls, path: Path | str) -> NodeSettings:
        """Read a settings file; paths in it are relative to its directory.

        :raises ConfigurationError: lists every problem of the file.
        """
        path = Path(path)
        return cls.from_text(read_text(path), source=str(path), directory=path.absolute().parent)

    @classmethod
    def from_text(
        cls, text: str, *, source: str = "node.toml", directory: Path | None = None
    ) -> NodeSettings:
        """Parse settings.

        :param directory: base of relative paths.
        :raises ConfigurationError: lists every problem of the text.
        """
        data = parse_toml(text, source)
        context = {"directory": directory}
        settings, problems = inspect(cls, data, source, context)
        # Each section is validated on its own, so that contradictions between sections are
        # reported even if another section is invalid.
        node, _ = inspect(NodeIdentity, data.get("node"), source)
        listen, _ = inspect(ListenSettings, data.get("listen"), source)
        control, _ = inspect(ControlSettings, data.get("control"), source, context)
        tls, _ = inspect(TlsSettings, data.get("tls"), source, context)
        found = []
        if node is not None and control is not None:
            found += _find_contradictions(node, control, listen)
            found += _find_unlisted_instances(node, control, tls)
        problems += [Problem(source, key, reason) for key, reason in found]
        if settings is None or problems:
            raise configuration_error(problems)
        return settings


def _find_unlisted_instances(
    node: NodeIdentity, control: ControlSettings, tls: TlsSettings | None
) -> list[tuple[str, str]]:
    """Return key and reason for each instance of the settings that ``tls.instances`` omits.

    Peers reject the certificate of such an instance.
    """
    if tls is None or tls.mode is not TlsMode.MUTUAL:
        return []
    known = {node.instance, *control.members}
    return [
        ("tls.instances", f"does not name the instance {instance!r}")
        for instance in sorted(known - set(tls.instances))
    ]


def _find_contradictions(
    node: NodeIdentity, control: ControlSettings, listen: ListenSettings | None
) -> list[tuple[str, str]]:
    """Return key and reason of each contradiction between sections."""
    instance = node.instance
    listed = control.members.get(instance)
    found = []
    if node.is_control and listed is None:
        found.append(("control.members", f"does not name {instance!r}, which has role 'control'"))
    if node.is_control and control.data_directory is None:
        found.append(("control.data_directory", "is required with role 'control'"))
    if not node.is_control and listed is not None:
        found.append(("control.members", f"names {instance!r}, which has no role 'control'"))
    if not node.is_control and control.data_directory is not None:
        found.append(("control.data_directory", "is only used with role 'control'"))
    if listed is not None and listen is not None and listed != listen.advertised_address:
        key = "listen.advertise" if listen.advertise else "listen.address"
        reason = f"gives {listed} for {instance!r}, but {key} is {listen.advertised_address}"
        found.append(("control.members", reason))
    return found

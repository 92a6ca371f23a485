"""Models of ``node.toml``."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

from pydantic import Field, StringConstraints, model_validator

# pydantic evaluates the annotations at run time, so these imports are needed then.
from hibiscuspoint.settings.paths import SettingsPath  # noqa: TC001
from hibiscuspoint.settings.security import SessionSettings, TlsSettings  # noqa: TC001
from hibiscuspoint.util.address import Address  # noqa: TC001
from hibiscuspoint.util.schema import StrictModel, option, parse_toml, read_text, validate

__all__ = [
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
    """What an instance does."""

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

    @model_validator(mode="after")
    def _check_roles(self) -> NodeIdentity:
        if Role.ENTRY not in self.roles:
            raise ValueError("roles must contain 'entry'")
        if len(set(self.roles)) != len(self.roles):
            raise ValueError("roles names a role twice")
        return self


class ListenSettings(StrictModel):
    """Addresses on which the process listens."""

    address: Address = option(
        doc="Address of all gRPC services (Caller, Peer, Control, Operator, Consensus).",
        allowed="ip:port with an IP number and a port within 1 to 65535",
    )
    http: Address = option(
        doc="Address of /metrics, /healthz and /readyz.",
        allowed="ip:port with an IP number and a port within 1 to 65535",
    )

    @model_validator(mode="after")
    def _check_distinct(self) -> ListenSettings:
        if self.address == self.http:
            raise ValueError("address and http are equal")
        return self


class ControlSettings(StrictModel):
    """The control group, as every instance knows it."""

    members: dict[Name, Address] = option(
        doc="Instance id and gRPC address of every control instance.",
        allowed='1, 3 or 5 entries of instance = "ip:port"',
    )
    data_directory: SettingsPath | None = option(
        None,
        doc="Directory of the control log; required with the role control.",
        allowed="path, relative to the settings file",
    )

    @model_validator(mode="after")
    def _check_members(self) -> ControlSettings:
        if len(self.members) not in CONTROL_SIZES:
            raise ValueError(f"members has {len(self.members)} entries; 1, 3 or 5 are allowed")
        if len(set(self.members.values())) != len(self.members):
            raise ValueError("members names an address twice")
        return self


class LogSettings(StrictModel):
    """Where numbered events are written."""

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
        16, doc="Interactive transactions that one caller may have open.", ge=1, le=10_000
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
    """How targets are reached."""

    kind: Name = option("standin", doc="Registered name of the target driver.", allowed="standin")

    @model_validator(mode="after")
    def _check_kind(self) -> TargetDriverSettings:
        if self.kind != "standin":
            raise ValueError(f"unknown target driver {self.kind!r}")
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
        return validate(cls, parse_toml(text, source), source, {"directory": directory})

    @model_validator(mode="after")
    def _check_control(self) -> NodeSettings:
        problems = self._contradictions()
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _contradictions(self) -> list[str]:
        instance = self.node.instance
        listed = self.control.members.get(instance)
        found = []
        if self.node.is_control and listed is None:
            found.append(f"role control, but control.members does not name {instance!r}")
        if self.node.is_control and self.control.data_directory is None:
            found.append("role control requires control.data_directory")
        if not self.node.is_control and listed is not None:
            found.append(f"control.members names {instance!r}, but node.roles has no 'control'")
        if not self.node.is_control and self.control.data_directory is not None:
            found.append("control.data_directory is set without the role control")
        if listed is not None and listed != self.listen.address:
            found.append(
                f"control.members gives {listed} for {instance!r}, "
                f"but listen.address is {self.listen.address}"
            )
        return found

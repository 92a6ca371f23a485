"""Model of an experiment file."""

from __future__ import annotations

import tomllib
from enum import Enum
from typing import TYPE_CHECKING, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.load.caller import Roaming
from hibiscuspoint.load.deployments import DEPLOYMENTS
from hibiscuspoint.load.layout import Layout

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Experiment", "Fault", "FaultKind", "LoadModel", "OutputModel", "SystemModel"]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class SystemModel(_Model):
    """The system under load: a launched topology, or the addresses of a running one.

    :param entries: ``ip:port`` of running entries; when set, nothing is launched.
    :param group_names: groups of a running system.
    """

    deployment: Literal["ledger", "mill"] = "ledger"
    instances: int = Field(9, ge=1, le=100)
    control: Literal[1, 3, 5] = 3
    groups: int = Field(1, ge=1, le=20)
    service_time_us: int = Field(500, ge=0)
    ship_delay_ms: int = Field(0, ge=0)
    apply_delay_ms: int = Field(0, ge=0)
    entries: tuple[str, ...] = ()
    group_names: tuple[str, ...] = ()

    @property
    def layout(self) -> Layout:
        """Return the layout to launch."""
        return Layout(
            deployment=DEPLOYMENTS.get(self.deployment),
            entries=self.instances,
            control=self.control,
            groups=self.groups,
            service_time_us=self.service_time_us,
            ship_delay_ms=self.ship_delay_ms,
            apply_delay_ms=self.apply_delay_ms,
        )

    @model_validator(mode="after")
    def _check(self) -> Self:
        if bool(self.entries) != bool(self.group_names):
            raise ValueError("entries and group_names are set together or not at all")
        if self.control > self.instances:
            raise ValueError("control is larger than instances")
        return self


class LoadModel(_Model):
    """The load.

    :param rate: operations a second of all sessions together; 0 is a closed loop, in which each
        session sends its next operation when the previous one ended.
    :param read_share: share of reads among the operations.
    :param aged_share: share of the reads that state ``max_age_ms``.
    :param transaction_share: share of the writes that write a pair; half of those interactively.
    :param ledger_share: share of the writes that add to the ledger.
    """

    duration_s: float = Field(10.0, gt=0, le=3600)
    sessions: int = Field(20, ge=1, le=10_000)
    rate: float = Field(0.0, ge=0)
    read_share: float = Field(0.9, ge=0, le=1)
    aged_share: float = Field(0.5, ge=0, le=1)
    max_age_ms: int = Field(1000, ge=1)
    transaction_share: float = Field(0.2, ge=0, le=1)
    ledger_share: float = Field(0.4, ge=0, le=1)
    keys: int = Field(50, ge=1)
    roaming: Roaming = Roaming.EACH_REQUEST
    timeout_s: float = Field(5.0, gt=0)
    seed: int = 1

    @model_validator(mode="after")
    def _check(self) -> Self:
        if self.transaction_share + self.ledger_share > 1:
            raise ValueError("transaction_share and ledger_share exceed 1 together")
        return self


class FaultKind(Enum):
    """What a fault does to its subject."""

    KILL = "kill"
    FREEZE = "freeze"
    LAG = "lag"
    SILENCE = "silence"


class Fault(_Model):
    """One fault.

    :param subject: name of an instance or target, ``leader``, or ``primary:GROUP``.
    :param at_s: seconds after the start of the load.
    :param duration_s: seconds until it is undone: a killed process is started again, a frozen one
        continues, a lag ends; 0 leaves it.
    :param delay_ms: apply delay of a lag.
    """

    kind: FaultKind
    subject: str
    at_s: float = Field(ge=0)
    duration_s: float = Field(0.0, ge=0)
    delay_ms: int = Field(0, ge=0)


class OutputModel(_Model):
    """Files to write, relative to the experiment file; an empty name writes none."""

    history: str = ""
    summary: str = ""


class Experiment(_Model):
    """One experiment."""

    name: str = Field("experiment", pattern=r"^[a-z][a-z0-9_]*$")
    system: SystemModel = SystemModel()
    load: LoadModel = LoadModel()
    fault: tuple[Fault, ...] = ()
    output: OutputModel = OutputModel()

    @model_validator(mode="after")
    def _check(self) -> Self:
        if self.fault and self.system.entries:
            raise ValueError("faults need a launched system; entries must be empty")
        return self

    @classmethod
    def from_file(cls, path: Path) -> Experiment:
        """Read an experiment of a TOML file.

        :raises ConfigurationError: the file is not valid; unknown keys are refused.
        """
        try:
            return cls.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise ConfigurationError(f"{path.name} cannot be read: {error}") from None
        except ValidationError as error:
            problems = "; ".join(
                f"{'.'.join(map(str, item['loc']))}: {item['msg']}" for item in error.errors()
            )
            raise ConfigurationError(f"{path.name} is not valid: {problems}") from None

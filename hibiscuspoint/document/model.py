"""Models of the environment document."""

from __future__ import annotations

from typing import Annotated

from pydantic import StringConstraints, field_validator, model_validator

from hibiscuspoint.util.schema import StrictModel, option

__all__ = [
    "EnvironmentModel",
    "GroupModel",
    "LimitsModel",
    "PromotionModel",
    "ReadsModel",
    "ServiceLevelsModel",
]

#: Document numbers travel as uint64; the bound leaves room for arithmetic in int64.
MAX_NUMBER = 2**62
#: Ages and timeouts travel as uint32 milliseconds; one day is far below its end.
MAX_MILLISECONDS = 86_400_000
_NAME_RULE = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]


class ReadsModel(StrictModel):
    """How old the data of reads may be; a read that states no maximum age gets no stale data."""

    max_age_ms_limit: int | None = option(
        None,
        doc="Greatest maximum age that a read may state; no bound without it.",
        unit="ms",
        ge=0,
        le=MAX_MILLISECONDS,
    )


class ServiceLevelsModel(StrictModel):
    """Service levels of one group; the burn report measures the stated ones."""

    write_availability: float | None = option(
        None, doc="Share of writes that must succeed.", unit="share", gt=0.0, lt=1.0
    )
    read_latency_ms: int | None = option(
        None,
        doc="Time within which a read counts as in time; needs read_in_time.",
        unit="ms",
        ge=1,
        le=MAX_MILLISECONDS,
    )
    read_in_time: float | None = option(
        None, doc="Share of reads that must be in time.", unit="share", gt=0.0, lt=1.0
    )
    freshness: float | None = option(
        None,
        doc="Share of reads with a maximum age that must be answered within that age.",
        unit="share",
        gt=0.0,
        lt=1.0,
    )

    @model_validator(mode="after")
    def _check_pair(self) -> ServiceLevelsModel:
        if (self.read_latency_ms is None) != (self.read_in_time is None):
            raise ValueError("read_latency_ms and read_in_time need each other")
        return self


class GroupModel(StrictModel):
    """One database group."""

    name: Name = option(doc="Name of the group.", allowed=_NAME_RULE)
    members: int = option(
        3, doc="Number of targets.", unit="targets", ge=1, le=7, allowed="1, 3, 5, 7"
    )
    ack_quorum: int | None = option(
        None,
        doc="Members that must hold a write before it is acknowledged; the majority by default.",
        unit="targets",
        ge=1,
        le=7,
        allowed="from the majority of members to members",
    )
    holders: int = option(
        2, doc="Entries that hold connections to the group.", unit="instances", ge=1, le=64
    )
    connections: int | None = option(
        None,
        doc="Connections to each target; the announced limit by default.",
        unit="connections",
        ge=1,
        le=100_000,
    )
    slots: int | None = option(
        None,
        doc="Statements in execution at each target; the announced number by default.",
        unit="statements",
        ge=1,
        le=100_000,
    )
    default_timeout_ms: int = option(
        5_000,
        doc="Time of a request that states none.",
        unit="ms",
        ge=1,
        le=MAX_MILLISECONDS,
    )
    reads: ReadsModel = option(ReadsModel(), doc="Age of read data.")
    service_levels: ServiceLevelsModel = option(ServiceLevelsModel(), doc="Service levels.")

    @property
    def quorum(self) -> int:
        """Return the members that must hold a write, with the default applied."""
        return self.ack_quorum if self.ack_quorum is not None else self.majority

    @property
    def majority(self) -> int:
        """Return the smallest number of members that is more than half."""
        return self.members // 2 + 1

    @field_validator("members")
    @classmethod
    def _check_members(cls, members: int) -> int:
        if members % 2 == 0:
            raise ValueError("is even")
        return members

    @model_validator(mode="after")
    def _check_quorum(self) -> GroupModel:
        # A smaller quorum lets a promotion miss an acknowledged write (design D3 and D4).
        if not self.majority <= self.quorum <= self.members:
            raise ValueError(
                f"ack_quorum is {self.quorum}; {self.majority} to {self.members} is needed"
            )
        if self.slots is not None and self.connections is not None:
            if self.slots > self.connections:
                raise ValueError("slots is larger than connections")
        return self


class LimitsModel(StrictModel):
    """Limits of every group's queue and retries."""

    queue_length: int = option(
        200, doc="Requests that may wait for one group.", unit="requests", ge=1, le=1_000_000
    )
    retry_ratio: float = option(
        0.1, doc="Retries as a share of requests.", unit="share", ge=0.0, le=1.0
    )
    idempotency_retention_hours: int = option(
        24, doc="Time for which a request id is remembered.", unit="h", ge=1, le=8_760
    )


class PromotionModel(StrictModel):
    """Conditions under which a document may move to the next environment."""

    minimum_age_seconds: int = option(
        0,
        doc="Time that the document must have been in force before it is promoted.",
        unit="s",
        ge=0,
        le=31_536_000,
    )
    max_burn_rate: float = option(
        1.0,
        doc="Greatest burn rate over one hour of any service level at promotion.",
        unit="times the error budget",
        gt=0.0,
        le=1_000.0,
    )


class EnvironmentModel(StrictModel):
    """One environment."""

    environment: Name = option(doc="Name of the environment.", allowed=_NAME_RULE)
    number: int = option(
        doc="Number of the document; one more than the number in force.", ge=1, le=MAX_NUMBER
    )
    group: tuple[GroupModel, ...] = option(
        (), strict=False, doc="Database groups; names are unique."
    )
    limits: LimitsModel = option(LimitsModel(), doc="Limits of queues and retries.")
    promotion: PromotionModel = option(PromotionModel(), doc="Conditions of a promotion.")

    @model_validator(mode="after")
    def _check_names(self) -> EnvironmentModel:
        names = [group.name for group in self.group]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            raise ValueError(f"group names are used twice: {', '.join(repeated)}")
        return self

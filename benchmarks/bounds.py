"""Bounds that the figures must keep."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Self

from pydantic import BaseModel, ConfigDict, model_validator

if TYPE_CHECKING:
    from benchmarks.registry import Figures

__all__ = ["Bound", "load_bounds", "missed"]

BOUNDS_FILE = Path(__file__).with_name("bounds.toml")


class Bound(BaseModel):
    """One bound.

    :param figure: path of the figure, with dots between the keys.
    :param source: goal of the design page from which the bound comes.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    benchmark: str
    figure: str
    max: float | None = None
    min: float | None = None
    source: str

    @model_validator(mode="after")
    def _check(self) -> Self:
        if (self.max is None) == (self.min is None):
            raise ValueError(f"the bound of {self.figure} needs either max or min")
        return self

    def miss(self, figures: Figures) -> str:
        """Return how figures miss the bound; empty if they keep it.

        A figure that is absent misses its bound, so that a renamed figure cannot go unchecked.
        """
        value = _figure(figures, self.figure)
        if value is None:
            return f"{self.figure} was not measured ({self.source})"
        if self.max is not None and value > self.max:
            return f"{self.figure} is {value}, above {self.max} ({self.source})"
        if self.min is not None and value < self.min:
            return f"{self.figure} is {value}, below {self.min} ({self.source})"
        return ""


def _figure(figures: Figures, path: str) -> float | None:
    value: object = figures
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value if isinstance(value, int | float) else None


def load_bounds(path: Path = BOUNDS_FILE) -> list[Bound]:
    """Return all bounds."""
    content = tomllib.loads(path.read_text(encoding="utf-8"))
    return [Bound.model_validate(item) for item in content["bound"]]


def missed(benchmark: str, figures: Figures, bounds: list[Bound] | None = None) -> list[str]:
    """Return the bounds of a benchmark that its figures miss, in words."""
    chosen = load_bounds() if bounds is None else bounds
    misses = (bound.miss(figures) for bound in chosen if bound.benchmark == benchmark)
    return [miss for miss in misses if miss]

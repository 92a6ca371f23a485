"""Registry of the benchmarks and their options."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeAlias

from hibiscuspoint.load.layout import Layout
from hibiscuspoint.registry import Registry

if TYPE_CHECKING:
    from hibiscuspoint.load.deployments import Deployment

__all__ = ["BENCHMARKS", "Benchmark", "Figures", "Options"]

Figures: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Options:
    """Options of one run.

    :param quick: small parameters that show that the benchmark works; bounds still apply.
    """

    deployment: Deployment
    quick: bool = False

    def choose(self, full: Any, quick: Any) -> Any:
        """Return the parameter for a full or a quick run."""
        return quick if self.quick else full

    def layout(self, **sizes: Any) -> Layout:
        """Return the layout of the deployment with some sizes replaced."""
        standard = Layout(
            deployment=self.deployment,
            groups=1 if self.quick else self.deployment.groups,
            targets_per_group=self.deployment.targets_per_group,
        )
        return replace(standard, **sizes)


Benchmark: TypeAlias = Callable[[Options], Awaitable[Figures]]

BENCHMARKS: Registry[Benchmark] = Registry("benchmark")

"""Values of the metrics that the instances of a topology serve."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.request import urlopen

from prometheus_client.parser import text_string_to_metric_families

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["samples", "total"]

TIMEOUT_S = 5.0


def samples(page: str, name: str) -> list[float]:
    """Return the values of all samples with a name, one for each set of labels."""
    families = text_string_to_metric_families(page)
    return [sample.value for family in families for sample in family.samples if sample.name == name]


async def total(endpoints: Iterable[str], name: str) -> float:
    """Return the sum of a metric over HTTP endpoints.

    :param endpoints: ``ip:port`` of each instance.
    :raises LookupError: no instance serves the metric, which is no measurement of 0.
    """
    pages = await asyncio.gather(*(asyncio.to_thread(_fetch, http) for http in endpoints))
    values = [value for page in pages for value in samples(page, name)]
    if not values:
        raise LookupError(f"no instance serves the metric {name}")
    return sum(values)


def _fetch(http: str) -> str:
    with urlopen(f"http://{http}/metrics", timeout=TIMEOUT_S) as response:
        return response.read().decode()

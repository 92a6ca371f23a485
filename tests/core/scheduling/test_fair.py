"""Tests of the fair order under patterns of load."""

from __future__ import annotations

import pytest

from tests.core.scheduling.builders import PROGRESS, RANKING, VERDICTS, RequestClass
from tests.core.scheduling.driver import Driver

CLASSES = (VERDICTS, PROGRESS, RANKING)
SECONDS = 4.0
USUAL = {VERDICTS: 0.1, PROGRESS: 0.25, RANKING: 0.25}


def _offer(driver: Driver, parts: dict[RequestClass, float], organisations: str = "abcdef") -> None:
    """Offer work in parts of the present capacity."""
    for cls, part in parts.items():
        rate = part * driver.free / cls.service / len(organisations)
        for organisation in organisations:
            driver.load(cls, rate, 0.0, SECONDS, organisation)


def _best_count(driver: Driver, connections: int) -> float:
    """Return the most answers that the connections can give, least work first.

    The guarantee of the less urgent classes, 5% each, is not part of what the first class can use.
    """
    capacity, count = connections * SECONDS, 0.0
    for cls, kept in zip(CLASSES, (0.10, 0.05, 0.0), strict=True):
        usable = max(0.0, capacity - kept * connections * SECONDS)
        served = min(driver.arrived[cls], usable / cls.service)
        count, capacity = count + served, capacity - served * cls.service
    return count


@pytest.mark.parametrize("burst", CLASSES)
def test_burst_of_one_class_at_twice_the_capacity(burst):
    """Load pattern: one class asks for twice the capacity.

    Guards against a queue that serves late what it should have refused.
    """
    driver = Driver(4)
    _offer(driver, USUAL | {burst: 2.0 - sum(USUAL.values()) + USUAL[burst]})
    driver.run()
    if burst is not VERDICTS:
        assert driver.timely[VERDICTS] >= 0.99 * driver.arrived[VERDICTS]
    assert sum(driver.timely[cls] for cls in CLASSES) >= 0.95 * _best_count(driver, 4)
    assert all(driver.timely[cls] for cls in CLASSES)
    late = [delay for delay in driver.refusal_delays if delay > 0.25]
    assert len(late) <= 0.1 * len(driver.refusal_delays)


def test_organisation_that_floods_leaves_the_others_their_part():
    """Load pattern: one organisation sends six times as much as each of the others."""
    driver = Driver(4)
    _offer(driver, {PROGRESS: 0.5})
    _offer(driver, {PROGRESS: 1.0}, "x")
    driver.run()
    for organisation in "abcdef":
        assert not driver.refused[organisation]
    assert driver.refused["x"]


def test_callers_that_come_back_together_after_an_outage():
    """Load pattern: two seconds of requests arrive at once; new ones are in time soon after."""
    driver = Driver(4)
    for cls, part in USUAL.items():
        for _ in range(int(2 * part * 4 / cls.service)):
            driver.at(0.0, driver.arrive, cls)
    driver.run()
    driver.arrived.clear()
    driver.timely.clear()
    for cls, part in USUAL.items():
        driver.load(cls, part * 4 / cls.service, 1.0, SECONDS)
    driver.run()
    assert all(driver.timely[cls] >= 0.99 * driver.arrived[cls] for cls in CLASSES)


def test_slow_class_that_holds_all_connections():
    """Load pattern: 22 ms statements have all connections when 4.5 ms statements arrive."""
    driver = Driver(4)
    for _ in range(120):
        driver.at(0.0, driver.arrive, RANKING)
    driver.load(VERDICTS, 300, 0.001, 1.0)
    driver.run()
    assert driver.timely[VERDICTS] >= 0.99 * driver.arrived[VERDICTS]
    # What the verdicts leave of four connections until the objective of the ranking reads.
    possible = (4 - 300 * VERDICTS.service) * RANKING.objective / RANKING.service
    assert driver.timely[RANKING] >= 0.95 * possible


def test_third_of_the_connections_is_lost():
    """Load pattern: six connections become four under a load of 1.2 times what is left."""
    driver = Driver(6)
    _offer(driver, {VERDICTS: 0.1, PROGRESS: 0.2, RANKING: 0.5})

    def lose(now: float) -> None:
        # Those in use end first.
        driver.free -= 2

    driver.at(1.0, lose)
    driver.run()
    assert driver.timely[VERDICTS] >= 0.99 * driver.arrived[VERDICTS]
    assert driver.timely[PROGRESS] >= 0.99 * driver.arrived[PROGRESS]
    assert driver.timely[RANKING] >= 0.6 * driver.arrived[RANKING]


def test_idle_transactions_that_hold_connections():
    """Load pattern: three of four connections are held for seconds; the wait is not a quarter."""
    driver = Driver(4)
    for _ in range(3):
        driver.at(0.0, driver.arrive, RANKING, "a", 3.0)
    driver.load(PROGRESS, 200, 0.01, 2.5)
    driver.run()
    assert driver.timely[PROGRESS] >= 0.9 * 2.4 / PROGRESS.service
    late = [delay for delay in driver.refusal_delays if delay > 0.25]
    assert len(late) <= 0.1 * len(driver.refusal_delays)


def test_callers_of_a_zone_without_targets():
    """Load pattern: one zone has callers and no target; its requests arrive 7 ms late.

    Guards against an order that prefers the callers that are near the target.
    """
    driver = Driver(4)
    near = PROGRESS
    far = RequestClass(1, near.service, near.objective - 0.007, near.timeout - 0.007)
    for cls, name in ((near, "n"), (far, "f")):
        driver.load(cls, 0.65 * 4 / near.service, 0.0, SECONDS, name)
    driver.run()
    served = {name: driver.timely[cls] / driver.arrived[cls] for cls, name in ((near, 0), (far, 1))}
    assert abs(served[0] - served[1]) <= 0.1 * served[0]

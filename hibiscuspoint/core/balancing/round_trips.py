"""Round trips to the availability zones, taken from exchanges that happen anyway."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscuspoint.ids import AvailabilityZone

__all__ = ["FAR_ZONE_SECONDS", "RoundTripSource", "RoundTrips"]

#: Round trip in seconds from which another zone counts as far. Below it the fixed cost of 2 ms of
#: the fixed ranking differs from the real one by less than the shortest statements take.
FAR_ZONE_SECONDS = 0.004

#: Share of that round trip below which a zone stops counting as far.
NEAR_AGAIN_SHARE = 0.75

#: Time in seconds after which the smallest round trip is measured anew, as links change.
WINDOW_SECONDS = 30.0

#: Round trips that a minimum needs; the first ones hold the opening of a channel.
MINIMUM_SAMPLES = 5


class RoundTripSource(Enum):
    """Exchange of which the round trip is taken; each has a cost of its own beside the link."""

    #: A holder takes the request for a connection.
    HOLDER = "holder"
    #: A target accepts a connection.
    TARGET = "target"


class RoundTrips:
    """Smallest recent round trips of one instance.

    :param zone: availability zone of this instance.
    """

    def __init__(self, zone: AvailabilityZone) -> None:
        self._zone = zone
        self._minima: dict[tuple[RoundTripSource, AvailabilityZone], _Minimum] = {}
        self._is_far = False

    def record(
        self, zone: AvailabilityZone, source: RoundTripSource, seconds: float, now: float
    ) -> None:
        """Record one exchange with an instance or a target in a zone."""
        self._minima.setdefault((source, zone), _Minimum()).add(seconds, now)

    def seconds(self, zone: AvailabilityZone) -> float | None:
        """Return the round trip to another zone beyond one in the own zone; ``None``: not known.

        The difference leaves out what the processes need for the exchange.
        """
        found = [
            value
            for source in RoundTripSource
            if (value := self._difference(source, zone)) is not None
        ]
        return min(found, default=None)

    def is_far(self) -> bool:
        """Tell whether another zone is far; it stays so until the round trip is clearly shorter."""
        zones = {zone for _, zone in self._minima if zone != self._zone}
        longest = max((self.seconds(zone) or 0.0 for zone in zones), default=0.0)
        limit = FAR_ZONE_SECONDS * (NEAR_AGAIN_SHARE if self._is_far else 1.0)
        self._is_far = longest >= limit
        return self._is_far

    def _difference(self, source: RoundTripSource, zone: AvailabilityZone) -> float | None:
        other = self._minima.get((source, zone))
        if other is None or other.count < MINIMUM_SAMPLES:
            return None
        own = self._minima.get((source, self._zone))
        if own is not None and own.count:
            return max(0.0, other.seconds - own.seconds)
        # The kernel accepts a connection, so that this is the link alone.
        return other.seconds if source is RoundTripSource.TARGET else None


@dataclass
class _Minimum:
    """Smallest value of the current and the last window."""

    count: int = 0
    current: float = math.inf
    last: float = math.inf
    ends_at: float = -math.inf

    @property
    def seconds(self) -> float:
        """Return the smallest value."""
        return min(self.current, self.last)

    def add(self, seconds: float, now: float) -> None:
        """Take a value into account."""
        if now >= self.ends_at:
            self.last, self.current = self.current, math.inf
            self.ends_at = now + WINDOW_SECONDS
        self.current = min(self.current, seconds)
        self.count += 1

"""Settings of the test runs."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

# CI must give the same verdict every time, so its examples come from a fixed seed.
settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile("soak", deadline=None, max_examples=2000, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

"""Tests of the parser of the settings file that the platform writes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from hibiscuspoint.core.balancing import RankingMode
from hibiscuspoint.core.quotas import QuotaBounds
from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.platform.settings import ProcessSettings
from tests.platform.builders import settings_fields

if TYPE_CHECKING:
    from pathlib import Path


def _read(path: Path, **changes: object) -> ProcessSettings:
    file = path / "settings.json"
    file.write_text(json.dumps(settings_fields(**changes)))
    return ProcessSettings.from_file(file)


def test_instances_are_named_by_their_internal_address(tmp_path):
    """Guards against control group members whose ids are not their internal addresses."""
    settings = _read(tmp_path)
    assert settings.instance == "10.1.0.8:7440"
    assert settings.founders == ("10.1.0.8:7440", "10.2.0.6:7440", "10.3.0.7:7440")


def test_later_start_forms_no_group(tmp_path):
    """Guards against a second control group that an instance forms after it lost its disk."""
    settings = _read(tmp_path, bootstrap=False)
    assert settings.founders == ()
    assert len(settings.seeds) == 3


def test_machine_without_a_disk_has_no_control_log(tmp_path):
    """Guards against a voter whose votes are not durable."""
    assert _read(tmp_path, data_dir=None).data_directory is None


def test_fair_order_only_where_the_settings_list_scarce_capacity(tmp_path):
    """Guards against another order of waiting statements on deployments that did not ask for it."""
    assert _read(tmp_path).scheduling == "priority"
    assert _read(tmp_path, contracts=["keys"]).scheduling == "priority"
    assert _read(tmp_path, contracts=["keys", "pressure"]).scheduling == "fair"


@pytest.mark.parametrize("changes", [{"listen": {}}, {"seeds": ["host:1"]}, {"internal_ports": []}])
def test_incomplete_settings_are_refused(tmp_path, changes):
    """Guards against a process that starts with incomplete or malformed settings."""
    with pytest.raises(ConfigurationError):
        _read(tmp_path, **changes)


def test_scarce_capacity_calls_for_the_balance(tmp_path):
    """Guards against fixed costs where capacity is scarce, and against a change anywhere else."""
    assert _read(tmp_path).ranking is RankingMode.MEASURED
    assert _read(tmp_path, contracts=["audit"]).ranking is RankingMode.MEASURED
    assert _read(tmp_path, contracts=["audit", "pressure"]).ranking is RankingMode.ALWAYS


def test_bounds_of_limits_are_read_where_they_are_stated(tmp_path):
    """Guards against bounds of the deployment that are ignored, and a start that needs them."""
    assert _read(tmp_path).quota_bounds == QuotaBounds()
    bounds = {"grace_s": 6, "quota_window_s": 4, "quota_excess": 0.2, "quota_slack": 7}
    assert _read(tmp_path, bounds=bounds).quota_bounds == QuotaBounds(4.0, 0.2, 7)

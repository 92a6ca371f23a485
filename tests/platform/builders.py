"""Builders of the JSON documents that the platform sends, with valid default fields."""

from __future__ import annotations

__all__ = [
    "configuration_fields",
    "heartbeat_fields",
    "route_fields",
    "settings_fields",
    "tenant_fields",
]


def route_fields(**changes: object) -> dict[str, object]:
    """Return the fields of a route."""
    fields = {
        "name": "r-1",
        "host": "lepu270",
        "path_prefix": "/",
        "kind": "read_your_writes",
        "timeout_ms": 1000,
        "slo_ms": 200,
        "priority": 1,
        "service": "huvo11a",
        "max_attempts": 2,
        "max_staleness_ms": 2500,
    }
    return {**fields, **changes}


def configuration_fields(**changes: object) -> dict[str, object]:
    """Return the fields of a configuration."""
    fields = {
        "version": 7,
        "routes": [
            route_fields(),
            route_fields(name="r-2", host="fiti832", kind="primary", max_staleness_ms=0),
        ],
        "services": [{"name": "huvo11a", "max_conns": 16, "sync_replicas": 1}],
        "limits": {"txn_idle_ms": 3000},
    }
    return {**fields, **changes}


def heartbeat_fields(**changes: object) -> dict[str, object]:
    """Return the fields of a heartbeat."""
    fields = {
        "service": "huvo11a",
        "addr": "10.128.0.9:8080",
        "zone": "zone-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "db_role": "replica",
        "seq_no": 4,
        "born": 1780000000000,
    }
    return {**fields, **changes}


def settings_fields(**changes: object) -> dict[str, object]:
    """Return the fields of a settings file."""
    fields = {
        "node_name": "frontend-zone-a-1",
        "ip": "10.1.0.8",
        "zone": "zone-a",
        "listen": {
            "frontend": "10.1.0.8:8784",
            "ready": "10.1.0.8:8785",
            "control_addr": "10.1.0.8:8782",
        },
        "internal_ports": [7440, 7455],
        "seeds": ["10.1.0.8:8782", "10.2.0.6:8782", "10.3.0.7:8782"],
        "bootstrap": True,
        "data_dir": "/data/instance",
        "fault_budget": {"machines": 1},
        "bounds": {"grace_s": 6},
        "cloud_api": {"addr": "10.200.0.160:8783"},
    }
    return {**fields, **changes}


def tenant_fields(name: object, *api_keys: object, **changes: object) -> dict[str, object]:
    """Return the fields of a tenant."""
    fields = {
        "name": name,
        "api_keys": list(api_keys),
        "priority": 1,
        "rate_per_s": 50,
        "burst": 20,
    }
    return {**fields, **changes}

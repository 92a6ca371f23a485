"""Tests of the example deployments."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest
import trustme

from hibiscuspoint.document import Document
from hibiscuspoint.settings import NodeSettings

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "zones", "slots", "connections"),
    [("deposit-ledger", 3, 2, 16), ("feather-mill", 4, 3, 40)],
)
def test_example_is_a_valid_deployment_of_the_current_size(
    tmp_path, name, zones, slots, connections
):
    """Guards against examples that no longer start, and against sizes other than design 1.4."""
    directory = shutil.copytree(EXAMPLES / name, tmp_path / name)
    (directory / "token-keys").write_text("1f" * 32)
    issued = trustme.CA().issue_cert("10.20.1.1")
    (directory / "tls").mkdir()
    for file in ("certificate.pem", "key.pem", "ca.pem"):
        issued.private_key_and_cert_chain_pem.write_to_path(directory / "tls" / file)
    nodes = [NodeSettings.from_file(path) for path in sorted(directory.glob("node-*.toml"))]
    assert len({item.node.instance for item in nodes}) == 9
    assert len({item.listen.address for item in nodes}) == 9
    assert len({item.node.availability_zone for item in nodes}) == zones
    control = {item.node.instance for item in nodes if item.node.is_control}
    assert len(control) == 3
    assert all(set(item.control.members) == control for item in nodes)
    document = Document.from_file(directory / "environment.toml")
    assert len(document.groups) == 3
    for group in document.groups.values():
        assert (group.members, group.slots, group.connections) == (3, slots, connections)

"""Tests of the node settings."""

from __future__ import annotations

import re

import pytest
import tomli_w
from hypothesis import example, given
from hypothesis import strategies as st

from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.settings import NodeSettings, TlsMode
from tests.builders import node_settings, toml_tables

MUTUAL = dict.fromkeys(("certificate", "key", "ca"), __file__) | {"mode": "mutual"}


def _error_message(**changes) -> str:
    with pytest.raises(ConfigurationError) as caught:
        NodeSettings.from_text(tomli_w.dumps(node_settings(**changes)))
    return caught.value.message


def test_file_is_read_with_paths_relative_to_it(tmp_path):
    """Guards against files that depend on the directory in which the daemon was started."""
    (tmp_path / "keys").write_text(f"{'1f' * 32}\n{'2e' * 32}\n")
    data = node_settings(session={"keys": None, "keys_file": "keys"})
    (tmp_path / "node.toml").write_text(tomli_w.dumps(data))
    settings = NodeSettings.from_file(tmp_path / "node.toml")
    assert settings.control.data_directory == tmp_path / "data"
    assert settings.session.key_bytes == (bytes([0x1F]) * 32, bytes([0x2E]) * 32)
    assert settings.tls.mode is TlsMode.PLAIN_TEXT
    assert settings.control.compaction_entries == 1000


def test_all_problems_are_listed_at_once():
    """Guards against reporting one problem at a time, which costs a start of the daemon each."""
    message = _error_message(
        node={"region": None, "roles": ["entry", "vote"]},
        listen={"address": "localhost:7400", "speed": 1},
        limits={"message_bytes": "big"},
    )
    for place in ("node.region", "node.roles[1]", "listen.address", "listen.speed"):
        assert f"node.toml: {place}: " in message
    assert "limits.message_bytes: should be a valid integer (allowed: at least 65536" in message
    assert "(allowed: address, http, callers, advertise)" in message


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"node": {"roles": ["control"]}}, "does not contain 'entry'"),
        ({"node": {"roles": ["entry"]}}, "names 'ba-1', which has no role 'control'"),
        ({"node": {"instance": "ba-9"}}, "does not name 'ba-9'"),
        ({"control": {"data_directory": None}}, "is required with role 'control'"),
        ({"control": {"members": {}}}, "has 0 entries"),
        ({"control": {"compaction_entries": 9}}, "at least 10"),
        ({"control": {"compaction_entries": 100_001}}, "at most 100000"),
        ({"listen": {"address": "127.0.0.1:7409"}}, "but listen.address is 127.0.0.1:7409"),
        ({"listen": {"advertise": "127.0.0.1:7409"}}, "but listen.advertise is 127.0.0.1:7409"),
        ({"listen": {"http": "127.0.0.1:7400"}}, "address and http are equal"),
        ({"listen": {"callers": "127.0.0.1:7401"}}, "callers is equal to"),
        ({"listen": {"http": "127.0.0.1:0"}}, "port 0"),
        ({"listen": {"http": "127.0.0.1"}}, "not an address"),
        ({"listen": {"address": "0.0.0.0:7400"}}, "can connect"),
        ({"control": {"members": {"ba-1": "[::]:7400"}}}, "can connect"),
        ({"tls": {"mode": "mutual"}}, "requires ca, certificate, key"),
        # Without the list every certificate of the authority could act as an instance.
        ({"tls": MUTUAL}, "requires instances"),
        # Every peer rejects an instance that is not in the list, and so does the instance itself.
        ({"tls": MUTUAL | {"instances": ["ba-2"]}}, "does not name the instance 'ba-1'"),
        ({"tls": {"operators": ["alice"]}}, "contradicts operators"),
        ({"tls": {"ca": "ca.pem"}}, "contradicts ca"),
        ({"tls": {"mode": "server", "certificate": "c" * 300, "key": "k"}}, "does not exist"),
        ({"session": {"keys": ["1f" * 31]}}, "31 bytes"),
        ({"session": {"keys": ["1f" * 32] * 2}}, "both keys are equal"),
        ({"session": {"keys": ["zz" * 32]}}, "not hexadecimal"),
        ({"session": {"keys_file": "absent"}}, "either keys or keys_file"),
        ({"session": {"keys": None, "keys_file": "absent"}}, "cannot be read"),
        ({"limits": {"message_bytes": 65_536, "statement_bytes": 65_537}}, "is larger than"),
        ({"target_driver": {"kind": "other"}}, "not the name of a target driver"),
        ({"target_driver": {"certificate": __file__}}, "certificate and key need each other"),
        ({"target_driver": {"certificate": __file__, "key": __file__}}, "only used with ca"),
        ({"target_driver": {"ca": "absent.pem"}}, "does not exist"),
    ],
)
def test_contradictions_are_refused(changes, reason):
    """Guards against a daemon that starts with settings that cannot work."""
    assert reason in _error_message(**changes)


def test_contradiction_is_listed_beside_other_problems():
    """Guards against a contradiction that shows only after all other keys are corrected."""
    message = _error_message(control={"data_directory": None}, log={"level": "loud"})
    assert "log.level" in message
    assert "control.data_directory" in message


def test_keys_are_not_printed():
    """Guards against secret keys in the log of a failed start."""
    bad = "5c" * 31
    assert bad not in _error_message(session={"keys": [bad]})
    assert "1f1f" not in repr(NodeSettings.from_text(tomli_w.dumps(node_settings())))


@given(toml_tables(("node", "listen", "control", "session", "tls", "limits"), node_settings()))
def test_any_table_gives_settings_or_one_error(data):
    """Guards against a traceback instead of a list of problems."""
    try:
        NodeSettings.from_text(tomli_w.dumps(data))
    except ConfigurationError as error:
        assert re.search(r"node\.toml: ", error.message)


@given(st.text(max_size=200))
@example("a = " + "[" * 5_000)
@example("a = " + "9" * 5_000)
@example("a = 2020-13-41")
def test_any_text_gives_settings_or_one_error(text):
    """Guards against TOML that the parser rejects with an unexpected exception."""
    with pytest.raises(ConfigurationError):
        NodeSettings.from_text(text)


@pytest.mark.parametrize("content", [b"\xff\xfe", None])
def test_unreadable_file_is_one_error(tmp_path, content):
    """Guards against a traceback for an absent or binary file."""
    path = tmp_path / "node.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(ConfigurationError, match="cannot be read"):
        NodeSettings.from_file(path)

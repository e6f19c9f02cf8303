"""Settings of a node: addresses, voter target and refused values."""

import json
import signal

import pytest

from oriolejunction import errors
from oriolejunction import node
from oriolejunction import node_settings
from oriolejunction import settings as instance_settings

ENTRY = {
    "instance_id": "frontend-fukuoka-1",
    "zone": "fukuoka",
    "ip": "10.1.0.24",
    "peer_port": 7200,
    "control_seeds": ["10.1.0.27:8748", "10.2.0.22:8748"],
    "list_address": "10.200.0.63:8742",
    "caller_listen": "10.1.0.24:8740",
    "ready_listen": "10.1.0.24:8749",
    "grace_ms": 8e3,
    "unknown_field": True,
}


def load(tmp_path, settings_type=node_settings.EntrySettings, **changes):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**ENTRY, **changes}))
    return node_settings.load(path, settings_type)


def test_seeds_listen_on_the_peer_port(tmp_path):
    settings = load(tmp_path)
    assert settings.seed_addresses() == ["10.1.0.27:7200", "10.2.0.22:7200"]
    assert settings.peer_listen == "10.1.0.24:7200"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("peer_port", 0),
        ("caller_listen", "somewhere"),
        ("control_seeds", ["name:8748"]),
        ("grace_ms", -1),
        ("prompt_reuse_ms", 0),
        ("instance_id", ""),
        ("ip", "host"),
        ("log_level", "loud"),
    ],
)
def test_invalid_settings_are_refused(tmp_path, field, value):
    with pytest.raises(errors.Failure) as failure:
        load(tmp_path, **{field: value})
    error = failure.value.error
    assert isinstance(error, errors.BadSettings)
    assert "node.json" in error.message


def test_five_voters_tolerate_two_lost_disks(tmp_path):
    settings = load(
        tmp_path,
        node_settings.ControlSettings,
        operator_listen="10.1.0.27:8748",
        data_dir="/data",
        first_start=True,
        losses_borne=2,
    )
    assert settings.voter_target == 5


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(errors.Failure):
        node_settings.load(tmp_path / "none", node_settings.EntrySettings)


def test_hangup_before_the_settings_are_read_ends_no_node(monkeypatch):
    """Fault: SIGHUP ended a process that had not begun to handle it."""
    variable = instance_settings.ENVIRONMENT_PREFIX + "BOOT"
    monkeypatch.delenv(variable, raising=False)
    before = signal.getsignal(signal.SIGHUP)
    try:
        with pytest.raises(errors.Failure):
            node._run_role(node.LOAD_BY_ROLE["entry"], None)
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, before)

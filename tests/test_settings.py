"""Settings are checked at startup; each fault is on its own line."""

import pytest

from oriolejunction import errors
from oriolejunction import settings

VALID = {
    "instance_id": "i-1",
    "zone": "a",
    "caller_listen": "127.0.0.1:1",
    "operator_listen": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:3",
    "control_peers": "i-1=127.0.0.1:3",
    "operator_token": "12345678",
}


def test_flag_takes_precedence_over_variable():
    loaded = settings.load(
        VALID | {"zone": "flag"}, {"ORIOLEJUNCTION_ZONE": "variable"}
    )
    assert loaded.zone == "flag"
    variables = {
        "ORIOLEJUNCTION_" + name.upper(): value
        for name, value in VALID.items()
    }
    assert settings.load({}, variables).instance_id == "i-1"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("caller_listen", "localhost:1"),
        ("caller_listen", "127.0.0.1:99999"),
        ("control_peers", "127.0.0.1:3"),
        ("operator_token", "short"),
        ("max_body_bytes", "many"),
        ("no_such", "1"),
    ],
)
def test_fault_names_flag_and_variable(name, value):
    with pytest.raises(errors.Failure) as caught:
        settings.load(VALID | {name: value}, {})
    (line,) = caught.value.error.message.splitlines()
    assert line.startswith("--" + name.replace("_", "-"))


def test_all_faults_are_reported_together():
    with pytest.raises(errors.Failure) as caught:
        settings.load({}, {})
    assert len(caught.value.error.message.splitlines()) == len(VALID)

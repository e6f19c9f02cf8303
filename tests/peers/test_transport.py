"""Instances authenticate each other by certificates."""

import pytest

from oriolejunction import errors
from oriolejunction.peers import transport
from oriolejunction import settings

FLAGS = {
    "instance_id": "i",
    "zone": "a",
    "caller_listen": "127.0.0.1:1",
    "operator_listen": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:3",
    "control_peers": "i=127.0.0.1:3",
    "operator_token": "long-enough",
}


def test_certificate_alone_is_refused():
    with pytest.raises(errors.Failure) as caught:
        settings.load(FLAGS | {"peer_tls_certificate": "a.pem"}, {})
    assert "--peer-tls-key" in caught.value.error.message


def test_unreadable_certificate_is_typed(tmp_path):
    names = ("certificate", "key", "authority")
    files = {f"peer_tls_{n}": str(tmp_path / n) for n in names}
    with pytest.raises(errors.Failure) as caught:
        transport.from_settings(settings.load(FLAGS | files, {}))
    assert isinstance(caught.value.error, errors.BadSettings)


def test_plain_without_certificates():
    assert transport.from_settings(settings.load(FLAGS, {})) == transport.PLAIN

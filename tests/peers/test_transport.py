"""Instances authenticate each other by certificates."""

import pathlib

import grpc
import pytest

from oriolejunction import errors
from oriolejunction import local_deployment
from oriolejunction import messages
from oriolejunction.peers import rpc
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


def test_certificate_without_key_is_refused():
    with pytest.raises(errors.Failure) as caught:
        settings.load(FLAGS | {"peer_tls_certificate": "a.pem"}, {})
    assert "--peer-tls-key" in caught.value.error.message


def test_unreadable_certificate_raises_bad_settings(tmp_path):
    names = ("certificate", "key", "authority")
    files = {f"peer_tls_{n}": str(tmp_path / n) for n in names}
    with pytest.raises(errors.Failure) as caught:
        transport.from_settings(settings.load(FLAGS | files, {}))
    assert isinstance(caught.value.error, errors.BadSettings)


def test_transport_is_plaintext_without_certificates():
    assert (
        transport.from_settings(settings.load(FLAGS, {}))
        == transport.PLAINTEXT
    )


CERTIFICATES = pathlib.Path(__file__).parent / "certificates"
PING = rpc.Method(
    "Test", "Ping", messages.StatusRequest, messages.InForceRequest
)


def _transport(name, authority="own"):
    return transport.PeerTransport(
        transport.PeerCertificates(
            (CERTIFICATES / f"{name}-peer.pem").read_bytes(),
            (CERTIFICATES / f"{name}-peer.key").read_bytes(),
            (CERTIFICATES / f"{authority}-authority.pem").read_bytes(),
        )
    )


async def _ping_through(client):
    async def answer(request):
        return messages.InForceRequest()

    (port,) = local_deployment.free_ports(1)
    address = f"127.0.0.1:{port}"
    server = grpc.aio.server()
    rpc.add_methods(server, {PING: answer})
    _transport("own").listen(server, address)
    await server.start()
    channel = client.channel(address)
    try:
        return await rpc.make_stub(channel, PING)(
            messages.StatusRequest(), timeout=5.0
        )
    finally:
        await channel.close()
        await server.stop(None)


async def test_peer_of_the_same_authority_is_served():
    assert await _ping_through(_transport("own")) == messages.InForceRequest()


@pytest.mark.parametrize(
    "client",
    [transport.PLAINTEXT, _transport("other")],
    ids=["plain", "other"],
)
async def test_client_without_a_valid_certificate_is_refused(client):
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await _ping_through(client)
    assert caught.value.code() is grpc.StatusCode.UNAVAILABLE


async def test_server_of_another_authority_is_refused():
    with pytest.raises(grpc.aio.AioRpcError):
        await _ping_through(_transport("own", authority="other"))

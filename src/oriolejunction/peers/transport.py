"""Channels and ports between instances, in plaintext or with mutual TLS.

Each instance authenticates itself with a certificate signed by the
deployment's own authority. Instances are reached by IP address, so
certificates are verified against one common name instead of the address.
"""

import pathlib

import grpc
import msgspec

from oriolejunction import errors
from oriolejunction.peers import rpc
from oriolejunction import settings as instance_settings

PEER_NAME = "oriolejunction-peer"


class PeerCertificates(msgspec.Struct, frozen=True):
    """PEM texts of this instance's certificate and key, and the authority."""

    certificate: bytes
    key: bytes
    authority: bytes


class PeerTransport(msgspec.Struct, frozen=True):
    """Opens channels and ports, in plaintext without certificates."""

    certificates: PeerCertificates | None = None

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return a channel to a peer at ``IP:PORT``."""
        certificates = self.certificates
        if certificates is None:
            return grpc.aio.insecure_channel(
                address, options=rpc.CHANNEL_OPTIONS
            )
        credentials = grpc.ssl_channel_credentials(
            certificates.authority, certificates.key, certificates.certificate
        )
        name = (("grpc.ssl_target_name_override", PEER_NAME),)
        return grpc.aio.secure_channel(
            address, credentials, options=rpc.CHANNEL_OPTIONS + name
        )

    def listen(self, server: grpc.aio.Server, address: str) -> None:
        """Open a port; with TLS, only peers with a certificate may use it."""
        certificates = self.certificates
        if certificates is None:
            server.add_insecure_port(address)
            return
        credentials = grpc.ssl_server_credentials(
            [(certificates.key, certificates.certificate)],
            root_certificates=certificates.authority,
            require_client_auth=True,
        )
        server.add_secure_port(address, credentials)


PLAINTEXT = PeerTransport()


def from_settings(settings: instance_settings.Settings) -> PeerTransport:
    """Return the transport that the settings configure.

    Raise `Failure` with `BadSettings` where a file cannot be read.
    """
    if settings.peer_tls_certificate is None:
        return PLAINTEXT
    return PeerTransport(
        PeerCertificates(
            certificate=_read(settings.peer_tls_certificate),
            key=_read(settings.peer_tls_key),
            authority=_read(settings.peer_tls_authority),
        )
    )


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.Failure(errors.BadSettings(f"{path}: {error}"))

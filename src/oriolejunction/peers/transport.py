"""Channels and ports between the instances, in the clear or mutual TLS.

Each instance proves itself by a certificate that the deployment's own
authority signed. Instances are reached by IP number, so that certificates
are checked against one common name in place of the address.
"""

import dataclasses
import pathlib

import grpc

from oriolejunction import errors
from oriolejunction.peers import rpc
from oriolejunction import settings as instance_settings

PEER_NAME = "oriolejunction-peer"


@dataclasses.dataclass(frozen=True)
class PeerCertificates:
    """PEM texts of this instance's certificate and key, and the authority."""

    certificate: bytes
    key: bytes
    authority: bytes


@dataclasses.dataclass(frozen=True)
class PeerTransport:
    """Opens channels and ports; without certificates in the clear."""

    certificates: PeerCertificates | None = None

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return a channel to a peer at ``IP:PORT``."""
        own = self.certificates
        if own is None:
            return grpc.aio.insecure_channel(
                address, options=rpc.CHANNEL_OPTIONS
            )
        credentials = grpc.ssl_channel_credentials(
            own.authority, own.key, own.certificate
        )
        name = (("grpc.ssl_target_name_override", PEER_NAME),)
        return grpc.aio.secure_channel(
            address, credentials, options=rpc.CHANNEL_OPTIONS + name
        )

    def listen(self, server: grpc.aio.Server, address: str) -> None:
        """Open a port that only peers with a certificate may use."""
        own = self.certificates
        if own is None:
            server.add_insecure_port(address)
            return
        credentials = grpc.ssl_server_credentials(
            [(own.key, own.certificate)],
            root_certificates=own.authority,
            require_client_auth=True,
        )
        server.add_secure_port(address, credentials)


PLAINTEXT = PeerTransport()


def from_settings(settings: instance_settings.Settings) -> PeerTransport:
    """Return the transport of the settings.

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

"""Settings of one process, from flags and environment variables.

A flag ``--peer-listen`` has the variable ``ORIOLEJUNCTION_PEER_LISTEN``;
the flag takes precedence. ``msgspec`` checks the values before anything
starts.
"""

import collections.abc
import ipaddress
import typing

import msgspec

from oriolejunction import errors
from oriolejunction import ids

MIN_TOKEN_LENGTH = 8
ENVIRONMENT_PREFIX = "ORIOLEJUNCTION_"

Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern="^[\\w.-]+$")
]
Address = typing.Annotated[str, msgspec.Meta(pattern="^.+:[0-9]{1,5}$")]


class Settings(msgspec.Struct, frozen=True):
    """Checked settings of ``serve``; addresses are ``IP:PORT``.

    `control_peers` lists the control replicas as ``ID=IP:PORT`` separated
    by commas. The three `peer_tls` PEM files turn on mutual TLS between the
    instances; either all or none are set. `operator_tokens` lists a token
    for each operator as ``NAME=TOKEN`` separated by commas.
    """

    instance_id: Name
    zone: Name
    caller_listen: Address
    operator_listen: Address
    peer_listen: Address
    control_peers: str
    operator_token: typing.Annotated[str, msgspec.Meta(min_length=8)]
    operator_tokens: str | None = None
    data_dir: str | None = None
    max_body_bytes: typing.Annotated[int, msgspec.Meta(ge=1024)] = 1 << 20
    max_requests: typing.Annotated[int, msgspec.Meta(ge=1)] = 4_096
    platform_list_url: str | None = None
    drain_delay_ms: typing.Annotated[int, msgspec.Meta(ge=0)] = 3_000
    peer_tls_certificate: str | None = None
    peer_tls_key: str | None = None
    peer_tls_authority: str | None = None
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"

    def control_address_by_id(self) -> dict[ids.InstanceId, str]:
        """Return the addresses of the control replicas."""
        pairs = (peer.split("=", 1) for peer in self.control_peers.split(","))
        return {ids.InstanceId(name): address for name, address in pairs}

    def operator_name_by_token(self) -> dict[str, str]:
        """Return the operator's name for each personal token."""
        pairs = (self.operator_tokens or "").split(",")
        named = (pair.partition("=") for pair in pairs if pair)
        return {token: name for name, _, token in named}


def load(
    flags: collections.abc.Mapping[str, object],
    environment: collections.abc.Mapping[str, str],
) -> Settings:
    """Return checked settings or raise `Failure` with `BadSettings`.

    The error message has one line for each fault.
    """
    value_by_name = {}
    faults = [
        f"--{name.replace('_', '-')}: unknown flag"
        for name in flags
        if name not in Settings.__struct_fields__
    ]
    for field in msgspec.structs.fields(Settings):
        raw = flags.get(field.name, environment.get(_env_name(field.name)))
        if raw is None:
            if field.required:
                faults.append(_format_fault(field.name, "is required"))
            continue
        try:
            value_by_name[field.name] = _convert(field, raw)
        except (msgspec.ValidationError, ValueError) as error:
            faults.append(_format_fault(field.name, str(error)))
    faults += _tls_faults(value_by_name)
    if faults:
        raise errors.Failure(errors.BadSettings("\n".join(faults)))
    return Settings(**value_by_name)


def _tls_faults(value_by_name: dict[str, object]) -> list[str]:
    names = ("peer_tls_certificate", "peer_tls_key", "peer_tls_authority")
    missing = [name for name in names if name not in value_by_name]
    if len(missing) in (0, len(names)):
        return []
    return [
        _format_fault(name, "is required for peer TLS") for name in missing
    ]


def _convert(field: msgspec.structs.FieldInfo, raw: object) -> object:
    value = msgspec.convert(str(raw), field.type, strict=False)
    if field.name.endswith("_listen"):
        split_address(value)
    if field.name == "operator_tokens":
        _check_operator_tokens(value)
    if field.name == "control_peers":
        for peer in value.split(","):
            name, separator, address = peer.partition("=")
            if not (name and separator):
                raise ValueError(f"{peer!r} is not ID=IP:PORT")
            split_address(address)
    return value


def _check_operator_tokens(value: str) -> None:
    for entry in value.split(","):
        name, _, token = entry.partition("=")
        if not name or len(token) < MIN_TOKEN_LENGTH:
            raise ValueError(
                "an entry is not NAME=TOKEN with a token of at least"
                f" {MIN_TOKEN_LENGTH} characters"
            )


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and port of ``IP:PORT``.

    Raise `ValueError` if the host is not an IP address or the port is
    out of range.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 <= int(port) <= 65_535:
        raise ValueError(f"port {port} is out of range")
    return host, int(port)


def _env_name(name: str) -> str:
    return ENVIRONMENT_PREFIX + name.upper()


def _format_fault(name: str, text: str) -> str:
    flag = "--" + name.replace("_", "-")
    return f"{flag} / {_env_name(name)}: {text}"

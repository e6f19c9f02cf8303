"""Settings of one node of a deployment, from a JSON file.

The file may change while the process runs, with or without SIGHUP; the
control seeds are read anew then.
"""

import pathlib
import typing

import msgspec

from oriolejunction import errors
from oriolejunction import settings

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0.0)]


class _NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    instance_id: settings.Name
    zone: settings.Name
    ip: str
    peer_port: Port
    control_seeds: tuple[settings.Address, ...]
    list_address: settings.Address
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"

    def seed_addresses(self) -> list[str]:
        """Return where the seeds listen for other instances."""
        hosts = (
            settings.split_address(each)[0] for each in self.control_seeds
        )
        return [f"{host}:{self.peer_port}" for host in hosts]

    @property
    def peer_listen(self) -> str:
        """Return where this node listens for other instances."""
        return f"{self.ip}:{self.peer_port}"


class EntrySettings(_NodeSettings, frozen=True, kw_only=True):
    """Settings of an entry instance.

    `grace_ms` is the time between SIGTERM and the kill. The retry budget
    allows `retry_ratio` times the requests and `retry_extra` more arrivals
    in any `retry_window_ms`, over all instances.
    """

    caller_listen: settings.Address
    ready_listen: settings.Address
    metrics_listen: settings.Address | None = None
    grace_ms: PositiveFloat = 8_000.0
    retry_ratio: PositiveFloat = 0.8
    retry_extra: PositiveFloat = 150.0
    retry_window_ms: PositiveFloat = 10_000.0


class ControlSettings(_NodeSettings, frozen=True, kw_only=True):
    """Settings of a control replica.

    `first_start` tells that the deployment starts for the first time, so
    that a group may be formed. `losses_borne` disks may be lost at once.
    """

    operator_listen: settings.Address
    metrics_listen: settings.Address | None = None
    data_dir: str
    first_start: bool
    losses_borne: typing.Annotated[int, msgspec.Meta(ge=0)] = 2

    @property
    def voter_target(self) -> int:
        """Return how many voters bear the losses."""
        return 2 * self.losses_borne + 1


NodeSettings = typing.TypeVar("NodeSettings", EntrySettings, ControlSettings)


def load(path: pathlib.Path, kind: type[NodeSettings]) -> NodeSettings:
    """Return checked settings; raise `Failure` with `BadSettings`.

    The message names the file, the field, and what is allowed.
    """
    try:
        read = msgspec.json.decode(path.read_bytes(), type=kind)
        for name in msgspec.structs.fields(kind):
            value = getattr(read, name.name)
            if name.name.endswith("_listen") and value is not None:
                settings.split_address(value)
        read.seed_addresses()
        settings.split_address(read.peer_listen)
    except (OSError, msgspec.DecodeError, ValueError) as error:
        raise errors.Failure(errors.BadSettings(f"{path}: {error}"))
    return read

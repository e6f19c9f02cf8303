"""Settings of one node of a deployment, from a JSON file.

The file is reloaded when it changes and on SIGHUP, so that the control seeds
can change while the process runs.
"""

import functools
import pathlib
import typing

import msgspec

from oriolejunction.controllers.overload import arrivals
from oriolejunction import errors
from oriolejunction import settings

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0.0)]
PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]


class RolloutBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of a service's rollout to another software version.

    A bad version may get `exposure_share` of the service's requests plus
    `exposure_tolerance`, and none `rollback_ms` after its 50th bad answer.
    """

    exposure_share: typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
    exposure_tolerance: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    rollback_ms: PositiveFloat


class _NodeSettings(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """Settings of all nodes.

    A listener for callers, other instances or operators has at most
    `max_connections`; of these, `max_arriving` may have a request that has
    begun and not ended, which hold `arriving_bytes` together. Beyond that,
    the oldest of them are closed.
    """

    instance_id: settings.Name
    zone: settings.Name
    ip: str
    peer_port: Port
    control_seeds: tuple[settings.Address, ...]
    list_address: settings.Address
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"
    # Absent where the deployment has no rollouts.
    rollouts: RolloutBounds | None = None
    # The smallest machine has 88 MB and 1,638 descriptors. An idle node takes
    # 55 MB, and the largest request has 4 MB.
    max_connections: PositiveInt = 512
    max_arriving: PositiveInt = 128
    arriving_bytes: PositiveInt = 8 << 20

    def arrival_limits(self) -> arrivals.ArrivalLimits:
        """Return the limits of a listener on unfinished requests."""
        return arrivals.ArrivalLimits(
            self.max_connections, self.max_arriving, self.arriving_bytes
        )

    def seed_addresses(self) -> list[str]:
        """Return the addresses where the control seeds listen for peers."""
        return list(self._seed_addresses)

    @functools.cached_property
    def _seed_addresses(self) -> tuple[str, ...]:
        hosts = (
            settings.split_address(each)[0] for each in self.control_seeds
        )
        return tuple(f"{host}:{self.peer_port}" for host in hosts)

    @property
    def peer_listen(self) -> str:
        """Return the address where this node listens for peers."""
        return f"{self.ip}:{self.peer_port}"


class EntrySettings(_NodeSettings, frozen=True, kw_only=True):
    """Settings of an entry instance.

    `grace_ms` is the time between SIGTERM and SIGKILL. In any
    `retry_window_ms` the retry budget of a service allows `retry_ratio`
    retries per request plus `retry_extra`, over all instances.
    `buffer_bytes` bounds what the instance holds of bodies and of answers
    that callers have not read yet; without it, only each one is bounded.
    `prompt_reuse_ms` is how long engines are expected to keep the parts of
    prompts in their KV cache; without it, placement ignores that cache.
    """

    caller_listen: settings.Address
    ready_listen: settings.Address
    metrics_listen: settings.Address | None = None
    grace_ms: PositiveFloat = 8_000.0
    retry_ratio: PositiveFloat = 0.8
    retry_extra: PositiveFloat = 150.0
    retry_window_ms: PositiveFloat = 10_000.0
    buffer_bytes: PositiveFloat | None = None
    prompt_reuse_ms: PositiveFloat | None = None


class ControlSettings(_NodeSettings, frozen=True, kw_only=True):
    """Settings of a control replica.

    `first_start` means that the deployment starts for the first time, so
    that a new control group may be formed. `losses_borne` is the number of
    disks that may be lost at once.
    """

    operator_listen: settings.Address
    metrics_listen: settings.Address | None = None
    # A replica has 4,096 descriptors, and may serve all entry instances.
    max_connections: PositiveInt = 1_024
    # Operators send documents of up to 64 MB.
    arriving_bytes: PositiveInt = 68 << 20
    data_dir: str
    first_start: bool
    losses_borne: typing.Annotated[int, msgspec.Meta(ge=0)] = 2

    def initial_voters(self) -> tuple[str, ...]:
        """Return the addresses of the replicas that may form the group."""
        return self._seed_addresses if self.first_start else ()

    @property
    def voter_target(self) -> int:
        """Return the number of voters that tolerates the losses."""
        return 2 * self.losses_borne + 1


NodeSettings = typing.TypeVar("NodeSettings", EntrySettings, ControlSettings)


def load(
    path: pathlib.Path, settings_type: type[NodeSettings]
) -> NodeSettings:
    """Return validated settings; raise `Failure` with `BadSettings`.

    The message names the file, the field and the allowed values.
    """
    try:
        loaded = msgspec.json.decode(path.read_bytes(), type=settings_type)
        for field in msgspec.structs.fields(settings_type):
            value = getattr(loaded, field.name)
            if field.name.endswith("_listen") and value is not None:
                settings.split_address(value)
        loaded.seed_addresses()
        settings.split_address(loaded.peer_listen)
    except (OSError, msgspec.DecodeError, ValueError) as error:
        raise errors.Failure(errors.BadSettings(f"{path}: {error}"))
    return loaded

"""Orders and reads of rollouts, between control replicas and operators."""

import msgspec

from oriolejunction import ids
from oriolejunction import states


class BeginRequest(msgspec.Struct, frozen=True):
    """Ask for a service's requests to move to a software version.

    A control replica that isn't the leader sends it on with `forwarded` set.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    duration_ms: float
    forwarded: bool = False


class BeginReply(msgspec.Struct, frozen=True):
    """The order's number; without one and a reason it is not confirmed."""

    number: int | None = None
    refusal: str | None = None
    unknown_service: bool = False

    @property
    def is_final(self) -> bool:
        """Return whether asking again would give the same answer."""
        return (
            self.number is not None
            or self.refusal is not None
            or self.unknown_service
        )


class ReadRequest(msgspec.Struct, frozen=True):
    """Ask for the newest rollout of a service; see `BeginRequest`."""

    service: ids.ServiceName
    forwarded: bool = False


class RouteProgress(msgspec.Struct, frozen=True, array_like=True):
    """Answers on one route: at the old versions and at the target."""

    route: str
    old_ended: int
    old_failed: int
    target_ended: int
    target_failed: int


class Progress(msgspec.Struct, frozen=True):
    """What the leader knows of a rollout in progress.

    `old_running` counts requests that run on old servers.
    """

    verdict: str
    reason: str
    instances: int
    requests: int
    target_sent: int
    granted: int
    limit: int
    old_running: int
    routes: tuple[RouteProgress, ...] = ()


class RolloutStatus(msgspec.Struct, frozen=True):
    """The newest rollout of a service; `progress` only while it runs."""

    service: ids.ServiceName
    number: int
    target: ids.SoftwareVersion
    state: states.RolloutState
    phase: states.RolloutPhase
    elapsed_ms: float
    duration_ms: float
    reason: str
    evidence: str
    progress: Progress | None = None


class ReadReply(msgspec.Struct, frozen=True):
    """The newest rollout, None if the service has had none.

    Without `confirmed`, the receiver can't tell.
    """

    confirmed: bool
    rollout: RolloutStatus | None = None

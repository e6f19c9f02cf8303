"""The configuration generated from a questionnaire's answers."""

import hashlib

import msgspec

from oriolejunction import ids
from oriolejunction import states


class Model(msgspec.Struct, frozen=True):
    """A model with the version and adapters that are served."""

    name: ids.ModelName
    version: ids.ModelVersion
    adapters: tuple[str, ...] = ()


class Engine(msgspec.Struct, frozen=True):
    """A backend server that generates tokens."""

    engine_id: ids.EngineId
    url: str
    zone: ids.ZoneId
    model: ids.ModelName
    checks_fencing: bool = False


class CallPattern(msgspec.Struct, frozen=True):
    """A method and path prefix that select calls to a plain service."""

    method: str
    path_prefix: str


class Service(msgspec.Struct, frozen=True):
    """A plain service; calls in `never_twice` run at most once."""

    name: ids.ServiceName
    urls: tuple[str, ...]
    never_twice: tuple[CallPattern, ...] = ()
    lookup_path: str | None = None


class Workspace(msgspec.Struct, frozen=True):
    """A workspace with its share and limits; its key is stored as a digest.

    `tokens_per_s` is 0 where there is no limit.
    """

    workspace_id: ids.WorkspaceId
    key_digest: str
    share: int = 1
    tokens_per_s: int = 0
    concurrent_requests: int = 0


class Configuration(msgspec.Struct, frozen=True):
    """Everything that the instances apply as one revision."""

    measure: states.Objective
    zones: tuple[ids.ZoneId, ...]
    models: tuple[Model, ...]
    engines: tuple[Engine, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    weight_loads_per_minute: int

    def model(self, name: str) -> Model | None:
        """Return the model of that name."""
        return next((m for m in self.models if m.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the plain service of that name."""
        return next((s for s in self.services if s.name == name), None)

    def engines_for(self, model: ids.ModelName) -> list[Engine]:
        """Return the engines that serve a model."""
        return [e for e in self.engines if e.model == model]

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Return the workspace whose key this is."""
        digest = key_digest(key)
        return next(
            (w for w in self.workspaces if w.key_digest == digest), None
        )


def key_digest(key: str) -> str:
    """Return the digest under which a workspace key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_never_twice(service: Service, method: str, path: str) -> bool:
    """Return whether a call to the service must run at most once.

    Case is ignored: a service may treat ``/Orders`` and ``/orders`` alike.
    """
    return any(
        method == pattern.method
        and path.lower().startswith(pattern.path_prefix.lower())
        for pattern in service.never_twice
    )

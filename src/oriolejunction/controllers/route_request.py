"""What a router is told about an attempt that needs an engine."""

import collections.abc
import dataclasses

from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import request_fingerprint
from oriolejunction import ids


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """One attempt in search of an engine.

    `excluded` holds the engines that this generation must not use again,
    `continuation` is true once an engine worked on it, and `delivered`
    counts the tokens that the engine gets as a forced prefix.
    """

    generation: ids.GenerationId
    workspace: ids.WorkspaceId
    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str
    prompt: str
    excluded: frozenset[ids.EngineId]
    continuation: bool
    fingerprint: ids.RequestFingerprint
    delivered: int


@dataclasses.dataclass(frozen=True)
class Placement:
    """One attempt of a generation at an engine."""

    generation: ids.GenerationId
    engine_id: ids.EngineId


ChooseEngine = collections.abc.Callable[
    [RouteRequest],
    collections.abc.Awaitable[configuration.Engine | None],
]


def route_of(
    generation: generations.Generation,
    excluded: frozenset[ids.EngineId],
    continuation: bool,
) -> RouteRequest:
    """Return the route request of a generation's next attempt."""
    request = generation.request
    return RouteRequest(
        generation=generation.generation_id,
        workspace=request.workspace,
        model=request.model,
        version=request.version,
        adapter=request.adapter,
        prompt=request.prompt,
        excluded=excluded,
        continuation=continuation,
        fingerprint=request_fingerprint.of(request),
        delivered=len(generation.delivered_ids),
    )

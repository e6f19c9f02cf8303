"""The request to the router for an engine, and its fingerprint."""

import collections.abc
import dataclasses

import xxhash

from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction import ids


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """One attempt that needs an engine.

    `excluded` are the engines that this generation must not use again.
    `continuation` is true once an engine has worked on the generation, for
    this instance or for the one from which it took over the answer.
    `delivered` is the number of tokens that the engine receives as a forced
    prefix. `repeated` means that a search in vain is repeated while a silent
    engine may still continue; it does not hold up new requests.
    """

    generation: ids.GenerationId
    workspace: ids.WorkspaceId
    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str
    prompt: str
    excluded: frozenset[ids.EngineId]
    continuation: bool
    fingerprint: ids.Fingerprint
    delivered: int
    repeated: bool = False


@dataclasses.dataclass(frozen=True)
class Placement:
    """One attempt of a generation on an engine."""

    generation: ids.GenerationId
    engine_id: ids.EngineId


ChooseEngine = collections.abc.Callable[
    [RouteRequest],
    collections.abc.Awaitable[configuration.Engine | None],
]


def fingerprint_of(
    request: generations.GenerationRequest,
) -> ids.Fingerprint:
    """Return the digest that identifies a request and its resends."""
    digest = xxhash.xxh3_128()
    for field in (
        request.workspace,
        request.model,
        request.adapter,
        request.prompt,
        repr((request.max_tokens, request.sampling, request.stop)),
    ):
        digest.update(field.encode("utf-8", "surrogatepass"))
        digest.update(b"\0")
    return ids.Fingerprint(digest.hexdigest())


def route_of(
    generation: generations.Generation,
    excluded: frozenset[ids.EngineId],
    continuation: bool,
    repeated: bool = False,
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
        continuation=continuation or bool(generation.delivered_ids),
        fingerprint=fingerprint_of(request),
        delivered=len(generation.delivered_ids),
        repeated=repeated,
    )

"""Changes that reduce safety and need an operator's confirmation."""

import collections.abc

from oriolejunction import configuration

Sentences = collections.abc.Iterator[str]


def describe_reductions(
    before: configuration.Configuration | None,
    after: configuration.Configuration,
    base_revision: int,
) -> Sentences:
    """Yield one sentence for each reduction, to be confirmed verbatim.

    Each sentence contains the base revision, so that a confirmation left in
    a file does not confirm the same change again later.
    """
    if before is None:
        return
    sentences = (
        *_never_twice_reductions(before, after),
        *_engine_reductions(before, after),
        *_fencing_reductions(before, after),
        *_weight_store_reductions(before, after),
    )
    for sentence in sentences:
        yield f"{sentence} (against revision {base_revision})"


def _never_twice_reductions(
    before: configuration.Configuration, after: configuration.Configuration
) -> Sentences:
    for service in before.services:
        remaining = after.service(service.name)
        if remaining is None:
            if service.never_twice:
                yield f"service {service.name} is removed"
            continue
        for pattern in service.never_twice:
            if not _is_covered(pattern, remaining):
                yield (
                    f"{pattern.method} {pattern.path_prefix} of"
                    f" {service.name} may run twice"
                )


def _is_covered(
    pattern: configuration.CallPattern, service: configuration.Service
) -> bool:
    return configuration.matches_never_twice(
        service, pattern.method, pattern.path_prefix
    )


def _engine_reductions(
    before: configuration.Configuration, after: configuration.Configuration
) -> Sentences:
    for model in before.models:
        old = {engine.engine_id for engine in before.engines_for(model.name)}
        new = {engine.engine_id for engine in after.engines_for(model.name)}
        removed = len(old - new)
        if removed and 2 * removed >= len(old):
            yield (
                f"{removed} of {len(old)} engines of {model.name} are removed"
            )


def _fencing_reductions(
    before: configuration.Configuration, after: configuration.Configuration
) -> Sentences:
    old_by_id = {engine.engine_id: engine for engine in before.engines}
    for engine in after.engines:
        old = old_by_id.get(engine.engine_id)
        if old and engine.checks_fencing and not old.checks_fencing:
            yield f"engine {engine.engine_id} now checks fencing numbers"


def _weight_store_reductions(
    before: configuration.Configuration, after: configuration.Configuration
) -> Sentences:
    old, new = before.weight_loads_per_minute, after.weight_loads_per_minute
    if new > old:
        yield f"the weight store now allows {new} loads a minute, not {old}"

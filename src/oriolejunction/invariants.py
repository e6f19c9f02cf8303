"""Assertions of what must always hold.

Each check raises `Failure` with `InvariantViolated`, after logging and
counting it, at the one place that could break the invariant.
"""

import structlog

from oriolejunction import errors

_log = structlog.get_logger(__name__)
violations_by_name: dict[str, int] = {}


def violation_count() -> int:
    """Return the number of violations seen by this process."""
    return sum(violations_by_name.values())


def require(name: str, holds: bool, **facts: object) -> None:
    """Raise, log and count where the invariant `name` does not hold."""
    if holds:
        return
    violations_by_name[name] = violations_by_name.get(name, 0) + 1
    _log.error("invariant violated", invariant=name, **facts)
    raise errors.Failure(errors.InvariantViolated(f"{name}: {facts}"))


def require_contiguous(next_offset: int, offset: int) -> None:
    """Require that tokens are appended only at the next offset."""
    require(
        "no_token_missing_or_repeated",
        next_offset == offset,
        next_offset=next_offset,
        offset=offset,
    )


def require_owner_goes_on(base: int, delivered: int) -> None:
    """Require that a new owner continues at the last delivered token."""
    require(
        "owner_goes_on_where_delivery_stands",
        base == delivered,
        base=base,
        delivered=delivered,
    )


def require_one_generation(expected: str, actual: str) -> None:
    """Require that an answer has tokens of a single generation."""
    require(
        "one_generation_per_answer",
        expected == actual,
        expected=expected,
        actual=actual,
    )


def require_acknowledged(delivered: int, acknowledged: int) -> None:
    """Require that each token is journalled before it is delivered."""
    require(
        "journal_before_delivery",
        delivered <= acknowledged,
        delivered=delivered,
        acknowledged=acknowledged,
    )


def require_rising_owner(current: int, following: int) -> None:
    """Require that a journal's next owner has a higher owner number."""
    require(
        "owner_number_rises",
        following > current,
        current=current,
        following=following,
    )


def require_rising_revision(current: int, following: int) -> None:
    """Require that a revision in force is never replaced by an older one."""
    require(
        "revision_never_reverts",
        following >= current,
        current=current,
        following=following,
    )


def require_single_dispatch(key: str, already_dispatched: bool) -> None:
    """Require that a non-idempotent call is dispatched at most once."""
    require("call_runs_at_most_once", not already_dispatched, key=key)


def require_no_work_when_leaving(
    engine_id: str, since_ms: float, grace_ms: float
) -> None:
    """Require that a leaving engine gets no new work after `grace_ms`."""
    require(
        "no_work_on_leaving_engine",
        since_ms <= grace_ms,
        engine=engine_id,
        since_ms=since_ms,
    )


def require_one_software(fixed: str, following: str) -> None:
    """Require that an answer goes on at the software version it began at."""
    require(
        "answer_has_one_software_version",
        following == fixed,
        fixed=fixed,
        following=following,
    )


def require_not_run(never_dispatched: bool, workspace: str) -> None:
    """Require that a request reported as `not_run` was sent to no engine."""
    require("not_run_is_true", never_dispatched, workspace=workspace)

"""Structured JSON logs on standard error."""

import collections.abc
import logging
import sys
import typing

import structlog


def configure(level: str, **fields: object) -> None:
    """Log JSON lines at `level` and above, each with `fields`."""
    configure_writer(level, structlog.PrintLoggerFactory(sys.stderr), fields)


def configure_writer(
    level: str,
    logger_factory: collections.abc.Callable[..., typing.Any],
    fields: dict[str, object],
    extra_processors: tuple[
        collections.abc.Callable[..., typing.Any], ...
    ] = (),
    cache_loggers: bool = False,
) -> None:
    """Log JSON lines to the loggers that `logger_factory` makes.

    `extra_processors` run before a line is rendered. With `cache_loggers` a
    logger keeps its configuration from its first line on, which saves time.
    """
    structlog.contextvars.bind_contextvars(**fields)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            *extra_processors,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=logger_factory,
        cache_logger_on_first_use=cache_loggers,
    )

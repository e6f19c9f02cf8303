"""Structured JSON logs on standard error."""

import logging
import sys

import structlog


def configure(level: str, **fields: object) -> None:
    """Log JSON lines at `level` and above, each with `fields`."""
    structlog.contextvars.bind_contextvars(**fields)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )

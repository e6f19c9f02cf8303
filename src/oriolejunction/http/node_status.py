"""Metrics and status of one node, for its operators."""

import collections
import collections.abc

from aiohttp import web
import aioprometheus
import msgspec

Status = collections.abc.Callable[[], dict[str, object]]


def application(
    registry: aioprometheus.Registry,
    status: Status,
    lines_dropped: collections.abc.Callable[[], int],
    connections_closed: collections.abc.Callable[
        [], dict[str, collections.Counter[str]]
    ] = dict,
) -> web.Application:
    """Return an application with ``/metrics`` and ``/status``.

    The status is the node's own view of the system, with its age in ms.
    `lines_dropped` counts the log lines dropped while standard output was
    blocked; `connections_closed` those that a listener closed to stay within
    its limits, by listener and reason.
    """
    dropped = aioprometheus.Gauge(
        "oj_log_lines_dropped",
        "Log lines dropped while standard output was blocked.",
        registry=registry,
    )

    closed = aioprometheus.Gauge(
        "oj_connections_closed",
        "Connections that a listener closed, by listener and reason.",
        registry=registry,
    )

    async def answer_metrics(request: web.Request) -> web.Response:
        dropped.set({}, lines_dropped())
        for listener, counts in connections_closed().items():
            for reason, count in counts.items():
                closed.set({"listener": listener, "reason": reason}, count)
        accepts = request.headers.getall("Accept", [])
        content, headers = aioprometheus.render(registry, accepts)
        return web.Response(body=content, headers=headers)

    async def answer_status(request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(status()),
            content_type="application/json",
        )

    app = web.Application()
    app.router.add_get("/metrics", answer_metrics)
    app.router.add_get("/status", answer_status)
    return app

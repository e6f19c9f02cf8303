"""The operator's HTTP calls to a control replica."""

import typing

from aiohttp import web
import msgspec

from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.http import replies
from oriolejunction.http import request_body
from oriolejunction import ids
from oriolejunction.peers import rollout_service
from oriolejunction.peers import table_publication
from oriolejunction.platform import configuration_document
from oriolejunction import publish_errors
from oriolejunction import rollout_errors
from oriolejunction import rollout_messages as rm
from oriolejunction import tolerant_json

REPLACE = "/v1/Configuration.Replace"
READ = "/v1/Configuration.Read"
BEGIN_ROLLOUT = "/v1/Rollouts.Begin"
READ_ROLLOUT = "/v1/Rollouts.Read/{service}"
# Rollouts take seconds to hours.
MIN_DURATION_S = 0.1
MAX_DURATION_S = 86_400.0
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _RolloutBody(msgspec.Struct):
    service: _Name
    to: _Name
    duration_s: typing.Annotated[
        float, msgspec.Meta(ge=MIN_DURATION_S, le=MAX_DURATION_S)
    ] = msgspec.field(name="durationS")


_decode_rollout = msgspec.json.Decoder(_RolloutBody).decode


def application(
    publication: table_publication.TablePublication,
    rollouts: rollout_service.RolloutService | None = None,
) -> web.Application:
    """Return the HTTP application that serves the operator's calls.

    Without `rollouts`, the deployment has none.
    """

    async def replace(request: web.Request) -> web.Response:
        document = await request_body.read_document(request)
        table = configuration_document.read_table(document)
        reply = await publication.publish(
            fm.PublishRequest(
                table.version,
                document,
                configuration_document.digest(document),
            )
        )
        publish_errors.require_published(reply)
        return web.json_response({"version": table.version})

    async def read(request: web.Request) -> web.Response:
        document = publish_errors.document_of(await publication.read())
        return web.Response(body=document, content_type="application/json")

    app = web.Application(middlewares=[replies.error_middleware])
    app.router.add_post(REPLACE, replace)
    app.router.add_get(READ, read)
    if rollouts is not None:
        _add_rollout_calls(app, rollouts)
    return app


def _add_rollout_calls(
    app: web.Application, rollouts: rollout_service.RolloutService
) -> None:
    async def begin(request: web.Request) -> web.Response:
        try:
            body = _decode_rollout(await request_body.read_document(request))
        except tolerant_json.DECODE_ERRORS as error:
            raise errors.Failure(errors.MalformedRequest(str(error)))
        order = rm.BeginRequest(
            ids.ServiceName(body.service),
            ids.SoftwareVersion(body.to),
            body.duration_s * 1e3,
        )
        rollout_errors.number_of(await rollouts.begin(order), order)
        return web.json_response({"service": body.service, "to": body.to})

    async def read(request: web.Request) -> web.Response:
        asked = rm.ReadRequest(ids.ServiceName(request.match_info["service"]))
        found = rollout_errors.status_of(await rollouts.read(asked), asked)
        return web.json_response(
            {"state": found.state.value, "to": found.target}
        )

    app.router.add_post(BEGIN_ROLLOUT, begin)
    app.router.add_get(READ_ROLLOUT, read)

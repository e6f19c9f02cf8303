"""The operator's HTTP calls to a control replica."""

from aiohttp import web

from oriolejunction import errors
from oriolejunction import fleet_messages as fm
from oriolejunction.http import replies
from oriolejunction.peers import fleet_service
from oriolejunction.platform import configuration_document

MAX_DOCUMENT_BYTES = 64 << 20
REPLACE = "/v1/Configuration.Replace"
READ = "/v1/Configuration.Read"


def application(service: fleet_service.FleetService) -> web.Application:
    """Return the HTTP application that serves the operator's calls."""

    async def replace(request: web.Request) -> web.Response:
        document = await request.read()
        table = configuration_document.read_table(document)
        reply = await service.publish(
            fm.PublishRequest(
                table.version,
                document,
                configuration_document.digest(document),
            )
        )
        if reply.refusal is not None:
            raise errors.Failure(errors.TableConflict(reply.refusal))
        if not reply.done:
            raise errors.Failure(
                errors.ChangeUnconfirmed("no majority confirmed the change")
            )
        return web.json_response({"version": table.version})

    async def read(request: web.Request) -> web.Response:
        reply = await service.read()
        if not reply.document:
            raise errors.Failure(
                errors.ControlUnavailable(
                    "no majority confirms which configuration is the newest"
                )
            )
        return web.Response(
            body=reply.document, content_type="application/json"
        )

    app = web.Application(
        client_max_size=MAX_DOCUMENT_BYTES,
        middlewares=[replies.error_middleware],
    )
    app.router.add_post(REPLACE, replace)
    app.router.add_get(READ, read)
    return app

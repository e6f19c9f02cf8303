"""The operators' listener: drafts, accept, withdraw, status, audit."""

import dataclasses
import hashlib
import hmac

from aiohttp import web
import msgspec

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction import errors
from oriolejunction.http import replies
from oriolejunction import ids
from oriolejunction import message_base
from oriolejunction import messages
from oriolejunction.peers import control_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import checks
from oriolejunction.questionnaire import differences
from oriolejunction.questionnaire import generate
from oriolejunction.questionnaire import safety_reductions
from oriolejunction import tolerant_json

MAX_ANSWERS_BYTES = 4 << 20
_OPERATOR_KEY = web.RequestKey("operator", str)
_error_by_code = {
    error.code: error
    for error in (errors.UnknownDraft, errors.RevisionConflict)
}


class ChangeRequest(msgspec.Struct, frozen=True):
    """Body of an accept or withdraw request."""

    target: str
    operator: str = "operator"


@dataclasses.dataclass(frozen=True)
class OperatorDependencies:
    """Dependencies of the operators' listener.

    A token in `name_by_token` authenticates one operator by name; with the
    shared `token` the client may state any name.
    """

    token: str
    clock: clocks.Clock
    control: control_client.ControlClient
    name_by_token: dict[str, str] = dataclasses.field(default_factory=dict)


def application(deps: OperatorDependencies) -> web.Application:
    """Return the application of the operators' listener."""

    @web.middleware
    async def authorized(request, handler):
        request[_OPERATOR_KEY] = _authenticate(request, deps)
        return await handler(request)

    app = web.Application(
        middlewares=[replies.error_middleware, authorized],
        client_max_size=MAX_ANSWERS_BYTES,
    )
    routes = _Routes(deps)
    app.add_routes(
        [
            web.post("/drafts", routes.submit),
            web.post("/accept", routes.accept),
            web.post("/withdraw", routes.withdraw),
            web.get("/status", routes.status),
            web.get("/audit", routes.audit),
        ]
    )
    return app


class _Routes:
    def __init__(self, deps: OperatorDependencies) -> None:
        self._deps = deps

    async def submit(self, request: web.Request) -> web.Response:
        text = (await request.read()).decode("utf-8", "replace")
        answers = checks.require_valid(answer_files.parse(text))
        in_force = await self._deps.control.in_force()
        content = generate.build_configuration(answers)
        redacted = answer_files.dump(
            msgspec.structs.replace(
                answer_files.redact_keys(answers),
                confirmed=tuple(sorted(answers.confirmed)),
            )
        )
        digest = hashlib.sha256(
            f"{in_force.revision}\0{redacted}".encode()
        ).hexdigest()
        draft_id = ids.DraftId(f"d-{in_force.revision}-{digest[:12]}")
        _require_confirmed(answers, in_force, content)
        return await self._propose(
            commands.SubmitDraft(
                operation_id=_operation_id("submit", draft_id),
                draft_id=draft_id,
                base_revision=in_force.revision,
                configuration=content,
                answers_toml=redacted,
                differences=tuple(
                    differences.describe_differences(
                        in_force.configuration, content
                    )
                ),
                operator=request[_OPERATOR_KEY] or "operator",
                at_ms=self._deps.clock.wall_ms(),
            )
        )

    async def accept(self, request: web.Request) -> web.Response:
        body = _change_request(await request.read())
        return await self._propose(
            commands.AcceptDraft(
                operation_id=_operation_id("accept", body.target),
                draft_id=ids.DraftId(body.target),
                operator=request[_OPERATOR_KEY] or body.operator,
                at_ms=self._deps.clock.wall_ms(),
            )
        )

    async def withdraw(self, request: web.Request) -> web.Response:
        body = _change_request(await request.read())
        return await self._propose(
            commands.WithdrawChange(
                operation_id=_operation_id("withdraw", body.target),
                target=body.target,
                operator=request[_OPERATOR_KEY] or body.operator,
                at_ms=self._deps.clock.wall_ms(),
            )
        )

    async def status(self, request: web.Request) -> web.Response:
        return _json_response(await self._deps.control.status())

    async def audit(self, request: web.Request) -> web.Response:
        return _json_response(await self._deps.control.audit())

    async def _propose(self, command: commands.Command) -> web.Response:
        try:
            result = await self._deps.control.propose(command)
        except errors.Failure as failure:
            raise errors.Failure(
                errors.ChangeUnconfirmed(
                    "the command may have taken effect, send it"
                    f" again: {failure.error.message}",
                    retry_after_ms=1_000,
                )
            )
        if isinstance(result, commands.ChangeRefused):
            error = _error_by_code[result.code]
            raise errors.Failure(error(result.message))
        return _json_response(result)


def _authenticate(request: web.Request, deps: OperatorDependencies) -> str:
    presented = replies.bearer_token(request).encode()
    for token, name in deps.name_by_token.items():
        if hmac.compare_digest(presented, token.encode()):
            return name
    if hmac.compare_digest(presented, deps.token.encode()):
        return request.headers.get("X-Operator", "")
    raise errors.Failure(errors.NotAuthorized("wrong operator token"))


def _require_confirmed(
    answers: answer_files.Answers,
    in_force: messages.InForceReply,
    content: configuration.Configuration,
) -> None:
    sentences = safety_reductions.describe_reductions(
        in_force.configuration, content, in_force.revision
    )
    missing = [
        sentence for sentence in sentences if sentence not in answers.confirmed
    ]
    if missing:
        raise errors.Failure(
            errors.ConfirmationNeeded(
                "these changes reduce safety; confirm each in"
                " question 8, word for word:\n" + "\n".join(missing)
            )
        )


def _operation_id(action: str, target: str) -> ids.OperationId:
    return ids.OperationId(f"{action}:{target}")


def _change_request(data: bytes) -> ChangeRequest:
    try:
        return msgspec.json.decode(data, type=ChangeRequest)
    except tolerant_json.DECODE_ERRORS as error:
        raise errors.Failure(errors.MalformedRequest(str(error)))


def _json_response(message: message_base.Message) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(message), content_type="application/json"
    )

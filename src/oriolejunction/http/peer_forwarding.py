"""Serves a request through another instance.

An instance that reaches no backend server passes its callers' requests on to
instances that do. Those serve them as if they came from the caller, and pass
none on again.
"""

import asyncio

from aiohttp import web
import msgspec

from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import backend_connection
from oriolejunction.http import engine_answers
from oriolejunction.http import gateway_common
from oriolejunction.http import large_answer
from oriolejunction.http import openai_answers
from oriolejunction.http import stop_limit
from oriolejunction import ids
from oriolejunction import states

CONNECT_TIMEOUT_MS = 60.0
CONNECT_TRIES = 2
MAX_HELPERS = 3
# The helper answers by the deadline itself.
ANSWER_MARGIN_MS = 100.0
# With these an instance promises that the request has not run, unless it
# passes on a server's answer, which repeats the id of the request. It may hold
# an older routing table than this one.
_NOT_RUN_STATUSES = frozenset((401, 403, 404, 503))
_FINAL_CODES = frozenset((errors.NoCapacity.code,))


class _PeerAnswer(msgspec.Struct, frozen=True):
    """Answer of another instance.

    With `has_rest`, it is a stream, or has a part after `body`.
    """

    connection: backend_connection.BackendConnection
    head: gateway_messages.AnswerHead
    has_rest: bool
    body: bytes


class PeerForwarder:
    """Passes one request on, or the rest of a stream after `last_event`.

    `origin_id` is the id of the request that began the stream. `possibly_run`
    servers may have run the request already.
    """

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
        possibly_run: int,
        last_event: int | None = None,
        origin_id: ids.RequestId | None = None,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        request = admitted.request
        self._last_event = (
            request.last_event if last_event is None else last_event
        )
        self._origin_id = origin_id or request.resumes or request.request_id
        self._possibly_run = possibly_run
        self._tried: set[str] = set()
        self._refusal: tuple[gateway_messages.AnswerHead, bytes] | None = None

    async def serve(
        self, begun: web.StreamResponse | None = None
    ) -> web.StreamResponse:
        """Return the answer, of which the caller has `begun` already.

        Raise `Failure` if there is none.
        """
        answer = None
        try:
            async with self._deps.stop_limit.bound():
                answer = await self._first_answer()
            if answer is not None:
                return await self._pass_on(answer, begun)
        except stop_limit.StopReached:
            pass
        finally:
            if answer is not None:
                # This ends the work, unless the answer is complete.
                answer.connection.close()
        if begun is not None:
            return self._break_off(begun)
        if (
            self._refusal is not None
            and not self._possibly_run
            and self._is_final(self._refusal[1])
        ):
            return engine_answers.relayed_response(*self._refusal)
        raise errors.Failure(
            self._final_error("no other instance served the request")
        )

    async def _first_answer(self) -> _PeerAnswer | None:
        """Return the first answer that is no refusal, None without one."""
        while len(self._tried) < MAX_HELPERS and self._may_ask():
            address = self._choose_helper()
            if address is None:
                return None
            self._tried.add(address)
            answer = await self._ask(address)
            if answer is not None:
                return answer
            if self._refusal is not None and self._is_final(self._refusal[1]):
                return None
        return None

    async def _ask(self, address: str) -> _PeerAnswer | None:
        """Return a helper's answer, None if it gave none or refused."""
        deps, request = self._deps, self._admitted.request
        connection = answer = None
        why = "refused"
        try:
            # A helper's own refusal names no request, so that a late copy of
            # one on a connection in use would say that this did not run.
            connection = await deps.peer_pool.connect(
                address, CONNECT_TIMEOUT_MS, CONNECT_TRIES
            )
            connection.send(
                request.method,
                request.target,
                deps.wire_format.forward_headers(
                    request,
                    self._remaining_ms,
                    self._last_event,
                    self._origin_id,
                    self._attempts_left,
                ),
                request.body,
            )
            # A helper that gives no answer may have asked one server.
            self._possibly_run += 1
            timeout_s = (self._remaining_ms + ANSWER_MARGIN_MS) / 1e3
            async with asyncio.timeout(max(0.0, timeout_s)):
                head = deps.wire_format.read_peer_head(
                    await connection.read_response_head(), request
                )
                has_rest = (
                    head.success
                    and self._admitted.route.kind is states.RequestKind.STREAM
                )
                body = b""
                if not has_rest:
                    held = await large_answer.read(
                        head, connection, deps.answers
                    )
                    body, has_rest = held.body, held.rest is not None
            is_own = not head.signed and not head.echoes_request_id
            if is_own and head.status in _NOT_RUN_STATUSES:
                self._possibly_run -= 1
                self._refusal = (head, body)
                return None
            if not is_own or head.success:
                engine_answers.require_matching_answer(head)
            answer = _PeerAnswer(connection, head, has_rest, body)
            return answer
        except backend_connection.RequestNotSent as error:
            why = f"not reached: {error}"
        except (backend_connection.ConnectionBroken, TimeoutError) as error:
            why = repr(error)
        finally:
            if answer is None:
                gateway_common.log_decision(
                    self._admitted,
                    "not served by other instance",
                    address=address,
                    why=why,
                    possibly_run=self._possibly_run,
                )
                if connection is not None:
                    connection.close()
        return None

    async def _pass_on(
        self, answer: _PeerAnswer, begun: web.StreamResponse | None
    ) -> web.StreamResponse:
        gateway_common.log_decision(
            self._admitted,
            "served by other instance",
            address=answer.connection.address,
            status=answer.head.status,
            after_event=self._last_event,
        )
        if not answer.has_rest:
            if begun is not None:
                return self._break_off(begun)
            if not engine_answers.may_relay(answer.head):
                raise errors.Failure(
                    self._final_error("another server may have run it")
                )
            return engine_answers.relayed_response(answer.head, answer.body)
        response = begun
        if response is None:
            response = web.StreamResponse(
                status=answer.head.status,
                headers=engine_answers.answer_headers(answer.head),
            )
            if answer.body:
                response.content_length = answer.connection.stated_length
            else:
                response.enable_chunked_encoding()
            await response.prepare(self._admitted.web_request)
        timeout_s = (self._remaining_ms + ANSWER_MARGIN_MS) / 1e3
        read_chunk = answer.connection.read_chunk
        try:
            # A helper that is frozen sends nothing, also no end.
            async with asyncio.timeout(max(0.0, timeout_s)):
                if answer.body:
                    await response.write(answer.body)
                while (piece := await read_chunk()) is not None:
                    await response.write(piece)
        except (backend_connection.ConnectionBroken, TimeoutError) as error:
            gateway_common.log_decision(
                self._admitted, "answer broken off", why=repr(error)
            )
            return self._break_off(response)
        await response.write_eof()
        return response

    def _is_final(self, refusal: bytes) -> bool:
        """Return whether a refusal is for the request, not for its helper."""
        return openai_answers.error_code(refusal) in _FINAL_CODES

    def _break_off(self, response: web.StreamResponse) -> web.StreamResponse:
        """Close the caller's connection, so that no end looks complete."""
        transport = self._admitted.web_request.transport
        if transport is not None:
            transport.close()
        return response

    @property
    def _attempts_left(self) -> int:
        route = self._admitted.route
        max_attempts = route.max_attempts if route.retryable else 1
        return max_attempts - self._possibly_run

    def _may_ask(self) -> bool:
        return self._attempts_left > 0 and self._remaining_ms > 0

    def _choose_helper(self) -> str | None:
        helpers = [
            each
            for each in self._deps.blackboard.fleet.read().helpers
            if each not in self._tried
        ]
        return self._deps.view.rng.choice(helpers) if helpers else None

    @property
    def _remaining_ms(self) -> float:
        return self._admitted.deadline_ms - self._deps.clock.now_ms()

    def _final_error(self, message: str) -> errors.ServingError:
        if self._possibly_run:
            if self._remaining_ms <= 0:
                return errors.AnswerTimedOut(message)
            return errors.AnswerUnknown(message)
        return errors.NotReady(
            message,
            retry_after_ms=self._deps.returns.return_after_ms(
                self._admitted.service.name, self._remaining_ms
            ),
        )

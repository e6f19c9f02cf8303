"""Calls to plain services, with the ledger where they run at most once."""

import dataclasses
import hashlib
import uuid

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction import errors
from oriolejunction.http import service_client
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import control_client
from oriolejunction import states

MAX_KEY_LENGTH = 256


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """One call as it came from a caller."""

    method: str
    path: str
    path_and_query: str
    content_type: str
    key: str
    body: bytes

    def digest(self) -> str:
        """Return the digest by which a resend is recognised."""
        whole = hashlib.sha256()
        for part in (self.method, self.path_and_query):
            whole.update(part.encode() + b"\0")
        whole.update(self.body)
        return whole.hexdigest()


class ServiceCalls:
    """Dispatch calls, never-twice ones only after a committed claim."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        client: service_client.ServiceClient,
        control: control_client.ControlClient,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._client = client
        self._control = control

    async def call(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: ServiceCall,
    ) -> messages.StoredAnswer:
        """Return the answer of a call or raise a typed `Failure`."""
        if not configuration.runs_never_twice(service, call.method, call.path):
            return await self._send(service, call)
        if not 0 < len(call.key) <= MAX_KEY_LENGTH:
            raise errors.Failure(
                errors.IdempotencyKeyMissing(
                    "this call runs at most once and needs an"
                    f" Idempotency-Key of 1 to {MAX_KEY_LENGTH} characters"
                )
            )
        return await self._call_once(service, workspace, call)

    async def _call_once(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: ServiceCall,
    ) -> messages.StoredAnswer:
        claim = messages.ClaimCall(
            workspace=workspace,
            service=service.name,
            key=ids.IdempotencyKey(call.key),
            body_digest=call.digest(),
            owner=self._instance_id,
            claim_id=uuid.uuid4().hex,
            at_ms=self._clock.wall_ms(),
        )
        granted = await self._control.propose(claim)
        if not granted.body_matches:
            raise errors.Failure(
                errors.IdempotencyKeyReused("key was used with another body")
            )
        if not granted.granted:
            return _earlier_answer(granted)
        try:
            answer = await self._send(service, call)
        except errors.Failure as failure:
            await self._record(claim, _state_after(failure), None)
            raise _typed(failure)
        await self._record(claim, states.CallState.DONE, answer)
        return answer

    async def _send(
        self, service: configuration.Service, call: ServiceCall
    ) -> messages.StoredAnswer:
        headers = {"Content-Type": call.content_type}
        if call.key:
            headers["Idempotency-Key"] = call.key
        return await self._client.send(
            service.urls[0],
            call.method,
            call.path_and_query,
            headers,
            call.body,
        )

    async def _record(
        self,
        claim: messages.ClaimCall,
        state: states.CallState,
        answer: messages.StoredAnswer | None,
    ) -> None:
        await self._control.propose(
            messages.RecordCallOutcome(
                workspace=claim.workspace,
                service=claim.service,
                key=claim.key,
                claim_id=claim.claim_id,
                state=state,
                answer=answer,
                at_ms=self._clock.wall_ms(),
            )
        )


def _earlier_answer(claim: messages.CallClaim) -> messages.StoredAnswer:
    match claim.state:
        case states.CallState.DONE:
            return claim.answer
        case states.CallState.CLAIMED:
            raise errors.Failure(
                errors.CallInProgress("call is being run", retry_after_ms=500)
            )
        case _:
            raise errors.Failure(
                errors.CallUnknown("call may have run and is not run again")
            )


def _state_after(failure: errors.Failure) -> states.CallState:
    if failure.error.outcome is states.Outcome.NOT_RUN:
        return states.CallState.RELEASED
    return states.CallState.UNKNOWN


def _typed(failure: errors.Failure) -> errors.Failure:
    if failure.error.outcome is states.Outcome.NOT_RUN:
        return failure
    return errors.Failure(errors.CallUnknown(failure.error.message))

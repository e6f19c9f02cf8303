"""Calls that run at most once: claim, one dispatch, recorded outcome."""

import asyncio
import collections
import collections.abc
import contextlib
import functools
import urllib.parse
import uuid

import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import ledger as ledgers
from oriolejunction import errors
from oriolejunction.http import call_messages
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import states

CLAIM_TIMEOUT_MS = 4_000
RECORD_WAIT_MS = 1_000
RECORD_RETRY_MS = 500
RECORD_ATTEMPTS = 12
MAX_REMEMBERED_DISPATCHES = 10_000
_log = structlog.get_logger(__name__)

Send = collections.abc.Callable[
    [configuration.Service, call_messages.ServiceCall],
    collections.abc.Awaitable[commands.StoredAnswer],
]
Propose = collections.abc.Callable[
    [commands.Command], collections.abc.Awaitable[commands.CommandResult]
]


class NeverTwiceCalls:
    """Run each call under a committed claim.

    A call continues after its caller has disconnected, so that its outcome
    is recorded; `pending` tells whether any work is in progress.
    """

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        send: Send,
        propose: Propose,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._send = send
        self._propose = propose
        self._tasks: set[asyncio.Task] = set()
        self._dispatched: collections.OrderedDict[ledgers.CallKey, None]
        self._dispatched = collections.OrderedDict()

    @property
    def pending(self) -> bool:
        """Return whether a call or the record of an outcome is in progress."""
        return bool(self._tasks)

    async def run(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: call_messages.ServiceCall,
    ) -> commands.StoredAnswer:
        """Return the answer of the only run or raise a typed `Failure`."""
        return await asyncio.shield(
            self._spawn(self._run(service, workspace, call))
        )

    async def void(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: call_messages.ServiceCall,
    ) -> commands.StoredAnswer:
        """Void a key for good, or return the answer if its call ran.

        Raise `Failure` with `KeyVoided`, the proof that the call never runs.
        """
        command = commands.VoidCall(
            workspace=workspace,
            service=service.name,
            key=ids.IdempotencyKey(call.key),
            owner=self._instance_id,
            at_ms=self._clock.wall_ms(),
        )
        try:
            result = await self._propose(command)
        except errors.Failure:
            raise errors.Failure(unconfirmed_error())
        return await self._earlier_answer(service, command, result)

    async def close(self) -> None:
        """Stop recording; a call without an outcome stays unknown."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(
        self,
        service: configuration.Service,
        workspace: ids.WorkspaceId,
        call: call_messages.ServiceCall,
    ) -> commands.StoredAnswer:
        claim = commands.ClaimCall(
            workspace=workspace,
            service=service.name,
            key=ids.IdempotencyKey(call.key),
            body_digest=call.digest(),
            owner=self._instance_id,
            claim_id=uuid.uuid4().hex,
            at_ms=self._clock.wall_ms(),
        )
        result = await self._claim(claim)
        if not result.body_matches:
            raise errors.Failure(
                errors.IdempotencyKeyReused(
                    "the key was used with another body"
                )
            )
        if not result.granted:
            return await self._earlier_answer(service, claim, result)
        return await self._dispatch(service, claim, call)

    async def _claim(self, claim: commands.ClaimCall) -> commands.CallClaim:
        proposal = self._spawn(self._propose(claim))
        try:
            if await self._finishes_within(proposal, CLAIM_TIMEOUT_MS):
                return proposal.result()
        except errors.Failure as failure:
            _log.debug("claim failed", why=str(failure))
        proposal.cancel()
        self._spawn(self._release_later(claim))
        raise errors.Failure(unconfirmed_error())

    async def _dispatch(
        self,
        service: configuration.Service,
        claim: commands.ClaimCall,
        call: call_messages.ServiceCall,
    ) -> commands.StoredAnswer:
        self._require_single_dispatch(claim)
        try:
            answer = await self._send(service, call)
        except errors.Failure as failure:
            if failure.error.outcome is not states.Outcome.NOT_RUN:
                await self._record(claim, states.CallState.UNKNOWN, None)
                raise errors.Failure(errors.CallUnknown(failure.error.message))
            self._dispatched.pop(_key_of(claim), None)
            if await self._record(claim, states.CallState.RELEASED, None):
                raise
            raise errors.Failure(
                errors.CallUnknown(
                    "nothing was sent, but the key is not released yet;"
                    " send the call again"
                )
            )
        await self._record(claim, states.CallState.DONE, answer)
        return answer

    def _require_single_dispatch(self, claim: commands.ClaimCall) -> None:
        key = _key_of(claim)
        invariants.require_single_dispatch(claim.key, key in self._dispatched)
        self._dispatched[key] = None
        if len(self._dispatched) > MAX_REMEMBERED_DISPATCHES:
            self._dispatched.popitem(last=False)

    async def _record(
        self,
        claim: commands.ClaimCall,
        state: states.CallState,
        answer: commands.StoredAnswer | None,
    ) -> bool:
        """Record an outcome; return whether it was committed in time.

        Otherwise the recording continues in the background, so that slow
        control replicas do not delay an answer.
        """
        return await self._finishes_within(
            self._spawn(self._record_until_done(claim, state, answer)),
            RECORD_WAIT_MS,
        )

    async def _release_later(self, claim: commands.ClaimCall) -> None:
        released = states.CallState.RELEASED
        await self._record_until_done(claim, released, None)

    async def _record_until_done(
        self,
        claim: commands.ClaimCall,
        state: states.CallState,
        answer: commands.StoredAnswer | None,
    ) -> None:
        command = commands.RecordCallOutcome(
            workspace=claim.workspace,
            service=claim.service,
            key=claim.key,
            claim_id=claim.claim_id,
            owner=self._instance_id,
            state=state,
            answer=_storable_answer(answer),
            at_ms=self._clock.wall_ms(),
        )
        for _ in range(RECORD_ATTEMPTS):
            try:
                await self._propose(command)
                return
            except errors.Failure as failure:
                _log.debug("outcome not recorded", why=str(failure))
            await self._clock.sleep_ms(RECORD_RETRY_MS)
        _log.error("outcome given up", key=claim.key, state=state.value)

    async def _earlier_answer(
        self,
        service: configuration.Service,
        command: commands.ClaimCall | commands.VoidCall,
        result: commands.CallClaim,
    ) -> commands.StoredAnswer:
        if result.refusal is not None:
            raise errors.Failure(_refusal_error(result.refusal))
        match result.state:
            case states.CallState.DONE if result.answer is not None:
                return result.answer
            case states.CallState.DONE:
                raise errors.Failure(
                    errors.AnswerNotKept(
                        "the call ran, but its answer is not stored"
                    )
                )
            case states.CallState.VOID:
                raise errors.Failure(
                    errors.KeyVoided("the key is voided; its call never runs")
                )
            case states.CallState.UNKNOWN:
                return await self._look_up_outcome(service, command)
            case _:
                raise errors.Failure(
                    errors.CallInProgress(
                        "a call with this key is running", 500
                    )
                )

    async def _look_up_outcome(
        self,
        service: configuration.Service,
        command: commands.ClaimCall | commands.VoidCall,
    ) -> commands.StoredAnswer:
        """Ask the service whether the call ran; only a 200 is conclusive.

        A service that does not know the key proves nothing: the owner of
        the claim may be paused and dispatch the call later.
        """
        unknown = errors.CallUnknown(
            "the call may have run and is not run again"
        )
        if service.lookup_path is None:
            raise errors.Failure(unknown)
        quoted = urllib.parse.quote(command.key, safe="")
        path = service.lookup_path.replace("{key}", quoted)
        try:
            answer = await self._send(service, call_messages.lookup_call(path))
        except errors.Failure:
            raise errors.Failure(unknown)
        if answer.status != 200:
            raise errors.Failure(unknown)
        resolved = commands.ResolveCall(
            workspace=command.workspace,
            service=command.service,
            key=command.key,
            answer=answer,
            at_ms=self._clock.wall_ms(),
        )
        with contextlib.suppress(errors.Failure):
            await self._propose(resolved)
        return answer

    async def _finishes_within(
        self, task: asyncio.Task, wait_ms: float
    ) -> bool:
        """Return whether a task ends in time; raise its exception."""
        timer = asyncio.create_task(self._clock.sleep_ms(wait_ms))
        try:
            await asyncio.wait(
                (task, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
        if not task.done():
            return False
        task.result()
        return True

    def _spawn(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(
            functools.partial(_discard_finished, self._tasks)
        )
        return task


def unconfirmed_error() -> errors.CallUnconfirmed:
    """Return the error of a call whose key could not be looked up."""
    return errors.CallUnconfirmed(
        "nothing was sent; the ledger could not be asked whether an earlier"
        " request with this key ran; send the request again",
        retry_after_ms=1_000,
    )


def _discard_finished(tasks: set[asyncio.Task], task: asyncio.Task) -> None:
    """Drop a finished task and mark its exception as retrieved."""
    tasks.discard(task)
    if not task.cancelled():
        task.exception()


def _key_of(claim: commands.ClaimCall) -> ledgers.CallKey:
    return (claim.workspace, claim.service, claim.key)


def _storable_answer(
    answer: commands.StoredAnswer | None,
) -> commands.StoredAnswer | None:
    if answer is None or len(answer.body) > ledgers.MAX_ANSWER_BYTES:
        return None
    return answer


def _refusal_error(refusal: states.KeyRefusal) -> errors.ServingError:
    match refusal:
        case states.KeyRefusal.EXPIRED | states.KeyRefusal.USED:
            return errors.KeyExpired(
                "the key is too old: this request was not run; an earlier"
                " one with the key may have run"
            )
        case states.KeyRefusal.EARLY:
            return errors.KeyNotYetValid("the key is dated in the future")
        case states.KeyRefusal.NO_ROOM:
            return errors.LedgerFull(
                "the ledger is full for this workspace; use dated keys"
                " from /v1/idempotency-key"
            )

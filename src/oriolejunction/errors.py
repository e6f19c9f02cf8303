"""Typed errors; each type says what a caller may conclude.

Pure code returns these in an ``expression`` result; the modules that do I/O
raise them inside `Failure` and turn them into typed JSON answers.
"""

import http
import typing

import msgspec

from oriolejunction import states


class ServingError(msgspec.Struct, frozen=True):
    """Base of all errors that reach a caller or an operator.

    `retry_after_ms` tells the client when to retry, if known.
    """

    message: str
    retry_after_ms: int | None = None

    code: typing.ClassVar[str] = "internal"
    outcome: typing.ClassVar[states.Outcome] = states.Outcome.FAILED
    status: typing.ClassVar[http.HTTPStatus] = (
        http.HTTPStatus.INTERNAL_SERVER_ERROR
    )


class Failure(Exception):
    """Exception that carries a typed error."""

    def __init__(self, error: ServingError) -> None:
        super().__init__(f"{error.code}: {error.message}")
        self.error = error


class NotRunError(ServingError):
    """Base of errors that guarantee that nothing was run."""

    outcome = states.Outcome.NOT_RUN
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class MalformedRequest(NotRunError):
    """The request can't be parsed or asks for an unsupported feature."""

    code = "malformed_request"
    status = http.HTTPStatus.BAD_REQUEST


class RequestTooLarge(NotRunError):
    """The body is larger than the limit."""

    code = "request_too_large"
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class UnknownWorkspace(NotRunError):
    """The bearer key belongs to no workspace."""

    code = "unknown_workspace"
    status = http.HTTPStatus.UNAUTHORIZED


class UnknownModel(NotRunError):
    """No model of that name is configured."""

    code = "unknown_model"
    status = http.HTTPStatus.NOT_FOUND


class UnknownService(NotRunError):
    """No plain service of that name is configured."""

    code = "unknown_service"
    status = http.HTTPStatus.NOT_FOUND


class IdempotencyKeyMissing(NotRunError):
    """A non-idempotent call came without a key."""

    code = "idempotency_key_missing"
    status = http.HTTPStatus.BAD_REQUEST


class IdempotencyKeyReused(NotRunError):
    """The key was used before with another body."""

    code = "idempotency_key_reused"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class NotReady(NotRunError):
    """The instance has no configuration in force or is stopping."""

    code = "not_ready"


class NoEngine(NotRunError):
    """No engine can accept the generation now."""

    code = "no_engine"


class Overloaded(NotRunError):
    """The predicted wait is longer than the deadline allows."""

    code = "overloaded"


class InstanceFull(NotRunError):
    """The instance has reached its limit of concurrent requests."""

    code = "instance_full"


class WorkspaceLimit(NotRunError):
    """The workspace exceeds one of its limits."""

    code = "workspace_limit"
    status = http.HTTPStatus.TOO_MANY_REQUESTS


class RequestQuarantined(NotRunError):
    """The request crashed engines before and is not run for a while."""

    code = "request_quarantined"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class GenerationQuarantined(ServingError):
    """The request ran and crashed engines; discard the part received."""

    code = "request_quarantined"
    status = http.HTTPStatus.BAD_GATEWAY


class ControlUnavailable(NotRunError):
    """No majority of control replicas answered before anything ran."""

    code = "control_unavailable"


class CallInProgress(ServingError):
    """Another call with the same key is running."""

    code = "call_in_progress"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.CONFLICT


class CallUnknown(ServingError):
    """The call may or may not have run and is never run again."""

    code = "call_unknown"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.BAD_GATEWAY


class CallUnconfirmed(ServingError):
    """The ledger did not answer; nothing was sent for this request.

    An earlier request with the same key may have run.
    """

    code = "call_unconfirmed"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class KeyExpired(ServingError):
    """The key is older than the ledger's records; the call is not rerun."""

    code = "idempotency_key_expired"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.GONE


class AnswerNotKept(ServingError):
    """The call ran, but its answer is no longer stored."""

    code = "answer_not_kept"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.CONFLICT


class KeyVoided(NotRunError):
    """The key was voided before its call ran; the call never runs."""

    code = "idempotency_key_voided"
    status = http.HTTPStatus.GONE


class KeyNotYetValid(NotRunError):
    """The key is dated in the future."""

    code = "idempotency_key_not_yet_valid"
    status = http.HTTPStatus.BAD_REQUEST


class LedgerFull(NotRunError):
    """The ledger can't store another key of the workspace now."""

    code = "ledger_full"


class ServiceFailed(ServingError):
    """A retryable call to a plain service failed."""

    code = "service_failed"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.BAD_GATEWAY


class ResumeRefused(NotRunError):
    """`Last-Event-ID` does not match the request or the journal."""

    code = "resume_refused"
    status = http.HTTPStatus.CONFLICT


class JournalUnavailable(NotRunError):
    """The journal of a generation did not answer; a retry may help."""

    code = "journal_unavailable"


class OwnerFenced(ServingError):
    """Another instance took the generation over."""

    code = "owner_fenced"
    status = http.HTTPStatus.CONFLICT


class GenerationLost(ServingError):
    """The answer can't be completed; discard the part received."""

    code = "generation_lost"
    status = http.HTTPStatus.BAD_GATEWAY


class AttemptLost(ServingError, frozen=True):
    """An engine lost its attempt at a generation."""

    cause: states.LossCause = states.LossCause.DISCONNECTED

    code = "attempt_lost"


class NotAuthorized(NotRunError):
    """The operator token is wrong."""

    code = "not_authorized"
    status = http.HTTPStatus.UNAUTHORIZED


class FaultyAnswers(NotRunError):
    """The questionnaire has faults; `message` lists them by question."""

    code = "faulty_answers"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class ConfirmationNeeded(NotRunError):
    """The answers reduce safety; `message` lists what to confirm."""

    code = "confirmation_needed"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class ChangeUnconfirmed(ServingError):
    """A change may have been committed, or is not in force everywhere."""

    code = "change_unconfirmed"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class UnknownDraft(NotRunError):
    """No draft or revision has that id."""

    code = "unknown_draft"
    status = http.HTTPStatus.NOT_FOUND


class RevisionConflict(NotRunError):
    """Another revision was accepted first; `message` names it."""

    code = "revision_conflict"
    status = http.HTTPStatus.CONFLICT


class BadSettings(ServingError):
    """A flag or environment variable is missing or wrong."""

    code = "bad_settings"


class CorruptLog(ServingError):
    """The log on disk is damaged other than by a torn tail."""

    code = "corrupt_log"


class InvariantViolated(ServingError):
    """An invariant of the program does not hold."""

    code = "invariant_violated"


class UnfitTable(NotRunError):
    """A routing table can't be parsed or put in force."""

    code = "unfit_table"
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class TableConflict(NotRunError):
    """Other content is in force under the version."""

    code = "table_conflict"
    status = http.HTTPStatus.CONFLICT


class RolloutConflict(NotRunError):
    """Another rollout of the service is in progress."""

    code = "rollout_conflict"
    status = http.HTTPStatus.CONFLICT


class UnknownRollout(NotRunError):
    """The service has had no rollout."""

    code = "unknown_rollout"
    status = http.HTTPStatus.NOT_FOUND


class ListUnavailable(ServingError):
    """The platform's list of backend servers could not be read in full."""

    code = "list_unavailable"


class NoTable(NotRunError):
    """This instance has no routing table yet."""

    code = "no_table"


class UnknownRoute(NotRunError):
    """No route matches the host and path."""

    code = "unknown_route"
    status = http.HTTPStatus.NOT_FOUND


class NoCapacity(NotRunError):
    """No backend server can accept the request in time."""

    code = "no_capacity"


class AnswerUnknown(ServingError):
    """A backend server was sent the request; whether it ran is unknown."""

    code = "answer_unknown"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.BAD_GATEWAY


class AnswerTimedOut(ServingError):
    """The caller's deadline or the route's timeout was reached."""

    code = "answer_timed_out"
    outcome = states.Outcome.UNKNOWN
    status = http.HTTPStatus.GATEWAY_TIMEOUT

"""One planned attempt of a stream: its log line, and what its engine gets."""

import msgspec

from oriolejunction import backends
from oriolejunction.controllers import event_answer
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import urgency
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common


class StreamPlan(msgspec.Struct, frozen=True):
    """Where an attempt runs, where its KV cache is copied to and from.

    The run keys identify the attempt's entries in the load table, one for
    its engine and one for the engine that stores the copy.
    """

    candidate: placement.Candidate
    copy_backend: backends.Backend | None
    copy_source: gateway_messages.KvCopySource | None
    tokens_to_prefill: int
    load_key: int
    copy_load_key: int | None

    @property
    def backend(self) -> backends.Backend:
        """Return the engine that runs the attempt."""
        return self.candidate.backend

    @property
    def fresh_tokens(self) -> int | None:
        """Return the tokens to prefill, None with a KV cache copy."""
        return None if self.copy_source else self.tokens_to_prefill

    @property
    def has_idle_engine(self) -> bool:
        """Return whether no other prefill is known on the engine."""
        return not self.candidate.prefill_tokens

    @property
    def times_prefill(self) -> bool:
        """Return whether the time to the first event is that of a prefill."""
        return (
            self.has_idle_engine
            and self.fresh_tokens is not None
            and not self.candidate.cached_tokens
        )


def log_placement(
    admitted: admitted_request.AdmittedRequest,
    plan: StreamPlan,
    after_event: int,
) -> None:
    """Log the engine of an attempt that resumes after an event."""
    backend = plan.backend
    gateway_common.log_decision(
        admitted,
        "stream placed",
        backend=backend.backend_id,
        zone=backend.zone,
        software=backend.software,
        copy=plan.copy_backend and plan.copy_backend.backend_id,
        from_copy=plan.copy_source is not None,
        after_event=after_event,
        streams=plan.candidate.streams,
        prefill=plan.candidate.prefill_tokens,
        cached=round(plan.candidate.cached_tokens),
    )


def dispatch_of(
    plan: StreamPlan,
    admitted: admitted_request.AdmittedRequest,
    attempts: gateway_common.AttemptTracker,
    answer: event_answer.EventAnswer,
) -> gateway_messages.Dispatch:
    """Return what the engine of an attempt receives beside the request."""
    resumed = answer.last_event > 0 or plan.copy_source is not None
    return gateway_messages.Dispatch(
        backend=plan.backend,
        remaining_ms=attempts.remaining_ms,
        workspace=admitted.workspace,
        last_event=answer.last_event,
        weights_version=answer.weights,
        kv_copy_to=plan.copy_backend and plan.copy_backend.address,
        kv_copy_from=plan.copy_source,
        engine_priority=urgency.engine_priority(
            admitted.rank, admitted.service_ranks, resumed
        ),
    )

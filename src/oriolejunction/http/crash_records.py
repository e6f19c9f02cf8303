"""Records which engines crashed with a request, and which answered it."""

from oriolejunction import backends
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common


def record_crash(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    backend: backends.Backend,
    sent_ms: float,
) -> None:
    """Count a lost engine against the request and its prompt's parts."""
    deps.guard.record_crash(
        admitted.fingerprint, backend.backend_id, backend.zone, sent_ms
    )
    deps.parts.record_crash(
        admitted.request.shared_parts,
        backend.backend_id,
        admitted.fingerprint,
    )


def take_back_crash(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    backend: backends.Backend,
) -> None:
    """Forget the crash of an engine that proved not to have crashed."""
    deps.guard.take_back(admitted.fingerprint, backend.backend_id)
    deps.parts.take_back(
        admitted.request.shared_parts,
        backend.backend_id,
        admitted.fingerprint,
    )


def record_answer(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
) -> None:
    """Record that an engine answered a request in full."""
    deps.guard.record_answer(admitted.fingerprint)
    deps.parts.record_answer(admitted.request.shared_parts)

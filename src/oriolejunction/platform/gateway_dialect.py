"""Headers and events between clients, entry instances and engines."""

import collections.abc
import math
import re

import msgspec

from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection
from oriolejunction import ids
from oriolejunction.platform import configuration_document
from oriolejunction.platform import engine_report

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
KEY = b"x-api-key"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
# Value: "prompt tokens,max output tokens"
TOKENS = b"token-counts"
PROMPT = b"prompt-prefix"
WORKSPACE = b"tenant"
EXPECTED_BACKEND = b"expected-instance"
# Request-Priority orders requests within an engine, 0 first; the "priority"
# of a route in the configuration is its rank.
ENGINE_PRIORITY = b"request-priority"
EXPECTED_WEIGHTS = b"expected-version"
WEIGHTS_VERSION = b"weight-versions"
SIGNATURE = b"response-signature"
NOT_RUN = b"not-executed"
LOAD = b"instance-load"
RATE_LIMIT = b"server-limit"
RETRY_AFTER = b"retry-after"
BRITTLE = b"server-brittle"
# In all answers of a server that leaves.
LEAVING = b"server-leaving"
# Set by an instance that passes a request on to another.
ATTEMPTS_LEFT = b"attempts-left"
COPY_TO = b"kv-backup"
COPY_FROM = b"kv-from"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# Only the system sends these to backend servers; those of a client are not
# forwarded.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE,
        KEY,
        LAST_EVENT,
        WORKSPACE,
        EXPECTED_BACKEND,
        ENGINE_PRIORITY,
        EXPECTED_WEIGHTS,
        ATTEMPTS_LEFT,
        COPY_TO,
        COPY_FROM,
        b"cache-retention",
        b"pin-ms",
        b"kv-fetch",
        b"wait-ms",
    )
)
_NOT_FORWARDED = HOP_BY_HOP | RESERVED_HEADERS
_UNAVAILABLE_STATUS = 503
_NOT_RUN_STATUSES = frozenset((421,))
# Each instance adds its own.
_HEADERS_OF_INSTANCE = frozenset((b"date", b"server"))
_MAX_DIGITS = 18
# More requests or a larger factor in a server's load make no sense.
_MAX_LOAD_COUNT = 1_000_000
_MAX_SLOWDOWN = 1_000.0
_DECIMAL = re.compile(rb"\d{1,300}(\.\d{0,300})?|\.\d{1,300}")


def read_request(
    method: str,
    target: str,
    raw_headers: collections.abc.Sequence[tuple[bytes, bytes]],
    body: bytes,
    now_ms: float,
) -> gateway_messages.CallerRequest:
    """Return a client's request; raise `Failure` with `MalformedRequest`."""
    by_name = {name.lower(): value for name, value in raw_headers}
    dropped = _NOT_FORWARDED | _connection_headers(by_name)
    deadline_ms = _parse_number(by_name, DEADLINE)
    prompt, output = _parse_token_counts(by_name)
    key = by_name.get(KEY)
    return gateway_messages.CallerRequest(
        request_id=ids.RequestId(_decode_text(by_name.get(REQUEST_ID, b""))),
        method=method,
        target=target,
        host=_parse_host(by_name.get(b"host", b"")),
        headers=tuple(
            (name, value)
            for name, value in raw_headers
            if name.lower() not in dropped
        ),
        body=body,
        key=_decode_text(key) if key is not None else None,
        received_ms=now_ms,
        deadline_ms=now_ms + deadline_ms if deadline_ms is not None else None,
        last_event=int(_parse_number(by_name, LAST_EVENT) or 0),
        resumes=ids.RequestId(_decode_text(by_name.get(RESUMES, b""))),
        prompt_tokens=prompt,
        max_output_tokens=output,
        prompt_digest=_decode_text(by_name.get(PROMPT, b"")).rpartition(",")[
            2
        ],
        shared_parts=_parse_shared_parts(by_name.get(PROMPT, b"")),
        attempts_left=_parse_attempts_left(by_name.get(ATTEMPTS_LEFT)),
        parts=tuple(_parse_parts(by_name.get(PROMPT, b""))),
    )


def dispatch_headers(
    request: gateway_messages.CallerRequest,
    dispatch: gateway_messages.Dispatch,
) -> list[tuple[bytes, bytes]]:
    """Return the headers sent to an engine."""
    headers = list(request.headers)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    remaining_ms = max(1, int(dispatch.remaining_ms))
    headers.append((b"Deadline-Ms", str(remaining_ms).encode()))
    headers.append(
        (b"Expected-Instance", dispatch.backend.backend_id.encode())
    )
    if dispatch.workspace is not None:
        headers.append((b"Tenant", dispatch.workspace.encode()))
    if dispatch.last_event:
        headers.append((b"Last-Event-Id", str(dispatch.last_event).encode()))
    if dispatch.weights_version is not None:
        headers.append(
            (b"Expected-Version", str(dispatch.weights_version).encode())
        )
    if dispatch.kv_copy_to is not None:
        headers.append((b"Kv-Backup", dispatch.kv_copy_to.encode()))
    if dispatch.kv_copy_from is not None:
        source = (
            f"{dispatch.kv_copy_from.address}/{dispatch.kv_copy_from.run_id}"
        )
        headers.append((b"Kv-From", source.encode()))
    if dispatch.engine_priority is not None:
        headers.append(
            (b"Request-Priority", str(dispatch.engine_priority).encode())
        )
    return headers


def forward_headers(
    request: gateway_messages.CallerRequest,
    remaining_ms: float,
    last_event: int,
    origin_id: ids.RequestId,
    attempts_left: int,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that another instance is to serve.

    A stream that began with the request `origin_id` goes on after
    `last_event`.
    """
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != RESUMES
    ]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    headers.append((b"Deadline-Ms", str(max(1, int(remaining_ms))).encode()))
    headers.append((b"Attempts-Left", str(attempts_left).encode()))
    if request.key is not None:
        headers.append((b"X-Api-Key", request.key.encode("latin-1")))
    if last_event:
        headers.append((b"Last-Event-Id", str(last_event).encode()))
        headers.append((b"Resumes", origin_id.encode("latin-1")))
    return headers


def read_peer_head(
    head: backend_connection.ResponseHead,
    request: gateway_messages.CallerRequest,
) -> gateway_messages.AnswerHead:
    """Return the decoded head of another instance's answer."""
    return msgspec.structs.replace(
        read_head(head, request),
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP and name not in _HEADERS_OF_INSTANCE
        ),
    )


def read_head(
    head: backend_connection.ResponseHead,
    request: gateway_messages.CallerRequest,
) -> gateway_messages.AnswerHead:
    """Return the decoded status line and headers of an engine.

    A refusal of another request does not say that this one has not run. One
    that names no request may be a copy, unless it is the first answer.
    """
    echo = head.get(REQUEST_ID)
    echoes_request_id = echo == request.request_id.encode("latin-1")
    return gateway_messages.AnswerHead(
        status=head.status,
        headers=tuple(
            (name, value)
            for name, value in head.headers
            if name not in HOP_BY_HOP and name != LOAD
            # It is for this instance; other servers may take the request.
            and (name != RETRY_AFTER or head.status != _UNAVAILABLE_STATUS)
        ),
        echoes_request_id=echoes_request_id,
        signed=head.get(SIGNATURE) is not None,
        not_run=(
            head.get(NOT_RUN) is not None or head.status in _NOT_RUN_STATUSES
        )
        and (echoes_request_id or (echo is None and head.is_first)),
        load=_parse_load(head.get(LOAD)),
        weights_version=_parse_int(head.get(WEIGHTS_VERSION)),
        rate_limit=_parse_rate_limit(head.get(RATE_LIMIT)),
        pause=read_pause(head),
        falls_over_at=_parse_int(head.get(BRITTLE)),
        leaving=read_leaving(head),
        names=None if echo is None else ids.RequestId(_decode_text(echo)),
    )


def read_event(block: bytes) -> gateway_messages.NumberedEvent | None:
    """Return a block of a stream as an event, None if it has no id."""
    number = None
    weights = None
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"id":
            number = _parse_int(value.strip())
        elif name == WEIGHTS_VERSION:
            weights = _parse_int(value.strip())
    if number is None:
        return None
    return gateway_messages.NumberedEvent(number, block, weights)


def _connection_headers(by_name: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the headers that `Connection` lists as hop-by-hop."""
    value = by_name.get(b"connection", b"")
    return frozenset(part.strip().lower() for part in value.split(b","))


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1")


def _parse_host(value: bytes) -> str:
    return _decode_text(value).partition(":")[0].lower()


def _parse_number(by_name: dict[bytes, bytes], name: bytes) -> float | None:
    value = by_name.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0.0 <= number < 1e12:
        raise errors.Failure(
            errors.MalformedRequest(
                f"{_decode_text(name)} is {_decode_text(value)!r}"
            )
        )
    return number


def _parse_token_counts(by_name: dict[bytes, bytes]) -> tuple[int, int]:
    value = by_name.get(TOKENS)
    if value is None:
        return 0, 0
    first, _, second = value.partition(b",")
    prompt, output = _parse_int(first), _parse_int(second)
    if prompt is None or output is None:
        raise errors.Failure(
            errors.MalformedRequest(
                f"token counts are {_decode_text(value)!r}"
            )
        )
    return prompt, output


def _parse_shared_parts(value: bytes) -> tuple[ids.PromptPart, ...]:
    """Return the ids of all parts of a prompt but the last."""
    parts = _decode_text(value).split(",")[:-1]
    names = (part.partition(":")[0].strip().lower() for part in parts)
    return tuple(dict.fromkeys(ids.PromptPart(name) for name in names if name))


def _parse_parts(
    value: bytes,
) -> collections.abc.Iterator[gateway_messages.PartTokens]:
    """Yield the parts of a prompt up to the first without a token count."""
    for part in value.split(b",") if value else ():
        name, _, count = part.partition(b":")
        tokens = _parse_int(count)
        if not name.strip() or not tokens:
            return
        yield ids.PromptPart(_decode_text(name).strip().lower()), tokens


def _parse_attempts_left(value: bytes | None) -> float:
    count = _parse_int(value)
    return math.inf if count is None else count


def _parse_int(value: bytes | None) -> int | None:
    if value is None:
        return None
    text = value.strip()
    # Python refuses to convert thousands of digits.
    readable = text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if readable else None


def _parse_load(value: bytes | None) -> gateway_messages.ServerLoad | None:
    if value is None:
        return None
    fields = value.split(b",")
    counts = [_parse_int(field) for field in fields[:3]]
    if len(counts) != 3 or None in counts or max(counts) > _MAX_LOAD_COUNT:
        return None
    # Further fields may be added; an unreadable fourth one says nothing.
    slowdown = _parse_percent(fields[3]) if len(fields) > 3 else None
    return gateway_messages.ServerLoad(*counts, slowdown or 1.0)


def _parse_percent(value: bytes) -> float | None:
    """Return a positive percentage as a factor, None if it is none."""
    text = value.strip()
    if not _DECIMAL.fullmatch(text):
        return None
    factor = float(text) / 100
    return factor if 1 / _MAX_SLOWDOWN <= factor <= _MAX_SLOWDOWN else None


def _parse_rate_limit(
    value: bytes | None,
) -> gateway_messages.RateLimit | None:
    if value is None:
        return None
    readable = _DECIMAL.fullmatch(value.strip())
    return gateway_messages.RateLimit(float(value) if readable else None)


def read_pause(
    head: backend_connection.ResponseHead,
) -> gateway_messages.PauseRequest | None:
    """Return the pause that any answer asks for, None if it asks for none."""
    value = head.get(RETRY_AFTER)
    if value is None or head.status != _UNAVAILABLE_STATUS:
        return None
    if not _DECIMAL.fullmatch(value.strip()):
        return gateway_messages.PauseRequest(None)
    return gateway_messages.PauseRequest(float(value) * 1e3)


def read_leaving(head: backend_connection.ResponseHead) -> bool:
    """Return whether any answer says that its server leaves."""
    return (head.get(LEAVING) or b"").strip() not in (b"", b"0")


WIRE_FORMAT = gateway_messages.WireFormat(
    read_request=read_request,
    dispatch_headers=dispatch_headers,
    read_head=read_head,
    read_event=read_event,
    read_pause=read_pause,
    read_leaving=read_leaving,
    forward_headers=forward_headers,
    read_peer_head=read_peer_head,
    read_table=configuration_document.read_table,
    report_target=engine_report.TARGET,
    read_report=engine_report.read_report,
)

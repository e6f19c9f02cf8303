"""Requests, dispatches and answers as the gateway handles them.

An adapter converts them from and to a deployment's own headers; see
`WireFormat`. Nothing here depends on the names on the wire.
"""

import collections.abc
import math

import msgspec

from oriolejunction import backends
from oriolejunction import ids
from oriolejunction import routing_table

Headers = tuple[tuple[bytes, bytes], ...]


# A part of a prompt with its number of tokens.
PartTokens = tuple[ids.PromptPart, int]


class CallerRequest(msgspec.Struct, frozen=True):
    """One request or retry of a caller, with its complete body.

    `deadline_ms` is on this process's clock. `last_event` is the number of
    the last event that the caller received, 0 without one, and `resumes` the
    id of the request that brought its first event. `headers` are those to be
    forwarded unchanged. `shared_parts` are the parts of the prompt that other
    requests may have too, in order; its last part is not among them. If
    another instance passed the request on, `attempts_left` is the number of
    servers that it may still go to. `parts` are all parts of the prompt with
    their tokens, in order, up to the first that states none.
    """

    request_id: ids.RequestId
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    received_ms: float
    deadline_ms: float | None
    last_event: int = 0
    resumes: ids.RequestId = ids.RequestId("")
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_digest: str = ""
    shared_parts: tuple[ids.PromptPart, ...] = ()
    attempts_left: float = math.inf
    parts: tuple[PartTokens, ...] = ()

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class KvCopySource(msgspec.Struct, frozen=True):
    """Address of a KV cache copy, stored under the id of its run."""

    address: str
    run_id: ids.RequestId


class Dispatch(msgspec.Struct, frozen=True):
    """What one backend server receives in addition to the request.

    `last_event` is the number of the last event that the caller received.
    """

    backend: backends.Backend
    remaining_ms: float
    workspace: ids.WorkspaceId | None = None
    last_event: int = 0
    weights_version: int | None = None
    kv_copy_to: str | None = None
    kv_copy_from: KvCopySource | None = None
    engine_priority: int | None = None


class ServerLoad(msgspec.Struct, frozen=True):
    """Load that a backend server reports in an answer.

    `slowdown` is how long work takes there now, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class RateLimit(msgspec.Struct, frozen=True):
    """Requests a second that a server takes from all instances together.

    `per_s` is None if the server names a limit that cannot be read.
    """

    per_s: float | None


class PauseRequest(msgspec.Struct, frozen=True):
    """Time in ms in which a server wants no request of this instance.

    `for_ms` is None if the server states a time that cannot be read.
    """

    for_ms: float | None


class AnswerHead(msgspec.Struct, frozen=True):
    """Head of a backend server's answer.

    `echoes_request_id` means that it repeats the id of the request, `signed`
    that it has the server's signature, `not_run` that the server states that
    it did not run the request. `weights_version` is that of the model.
    `rate_limit` is None if the server names none, `pause` if it asks for none.
    `falls_over_at` is the number of rejections in a second that a brittle
    server does not survive, None if it is sound. `leaving` means that the
    server wants no new requests any more. `names` is the id of the request
    that it names, None if it names none.
    """

    status: int
    headers: Headers
    echoes_request_id: bool
    signed: bool
    not_run: bool
    load: ServerLoad | None = None
    weights_version: int | None = None
    rate_limit: RateLimit | None = None
    pause: PauseRequest | None = None
    falls_over_at: int | None = None
    leaving: bool = False
    names: ids.RequestId | None = None

    @property
    def success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300

    @property
    def has_no_room(self) -> bool:
        """Return whether the server turned the request away for now."""
        return self.not_run and self.status == 503


class NumberedEvent(msgspec.Struct, frozen=True):
    """One complete event of a stream, as received."""

    number: int
    data: bytes
    weights_version: int | None = None


class ReportedRun(msgspec.Struct, frozen=True):
    """A request that an engine runs, with its tokens in memory and events."""

    kv_tokens: int
    events: int


class EngineReport(msgspec.Struct, frozen=True):
    """Requests that an engine decodes, and how many have no token yet.

    `before_first_event` counts the requests in its queue or in prefill; `born`
    is that of `Backend`.
    """

    before_first_event: int
    run_by_request: dict[ids.RequestId, ReportedRun]
    born: int = 0


class WireFormat(msgspec.Struct, frozen=True):
    """How a deployment encodes requests, dispatches and answers.

    `read_request` raises `Failure` with `MalformedRequest`; `read_event`
    returns None for a block without an event number, and `read_report` for
    a report that cannot be read. `read_pause` and `read_leaving` read the head
    of any answer.
    `forward_headers` and `read_peer_head` are for requests that one instance
    passes on to another.
    """

    read_request: collections.abc.Callable[..., CallerRequest]
    dispatch_headers: collections.abc.Callable[
        [CallerRequest, Dispatch], list[tuple[bytes, bytes]]
    ]
    read_head: collections.abc.Callable[..., AnswerHead]
    read_event: collections.abc.Callable[[bytes], NumberedEvent | None]
    read_pause: collections.abc.Callable[..., PauseRequest | None]
    read_leaving: collections.abc.Callable[..., bool]
    forward_headers: collections.abc.Callable[..., list[tuple[bytes, bytes]]]
    read_peer_head: collections.abc.Callable[..., AnswerHead]
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]
    report_target: str
    read_report: collections.abc.Callable[[bytes], EngineReport | None]

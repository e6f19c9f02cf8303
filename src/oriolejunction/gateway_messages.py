"""What the gateway knows of requests, dispatches and answers.

An adapter reads these from a deployment's own headers and writes them back;
see `Dialect`. Nothing here depends on the names on the wire.
"""

import collections.abc
import dataclasses

from oriolejunction import backends
from oriolejunction import ids
from oriolejunction import routing_table

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One attempt of a caller, read in full.

    `deadline_ms` is on this process's clock. `last_event` is the number of
    the last event that the caller holds, 0 without one. `headers` are
    those to be passed on as they are.
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
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_digest: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class KvCopySource:
    """Where a run's memory was copied to, under the id of the run."""

    address: str
    run_id: ids.RequestId


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """What one backend server is to be told beside the request itself.

    `last_event` is the number of the last event that the caller holds.
    """

    backend: backends.Backend
    remaining_ms: float
    workspace: ids.WorkspaceId | None = None
    last_event: int = 0
    weights_version: int | None = None
    kv_copy_to: str | None = None
    kv_copy_from: KvCopySource | None = None
    engine_priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ServerLoad:
    """Load that a backend server tells in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Head of a backend server's answer.

    `own` tells that it bears the id of the request, `signed` that it bears
    the server's signature. `not_run` is the server's word that it did not
    run the request. `weights` is the version of the model that answers.
    """

    status: int
    headers: Headers
    echoes_request_id: bool
    signed: bool
    not_run: bool
    load: ServerLoad | None = None
    weights_version: int | None = None

    @property
    def success(self) -> bool:
        """Return whether the status tells of a success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True)
class NumberedEvent:
    """One whole event of a stream, as it came."""

    number: int
    data: bytes
    weights_version: int | None = None


@dataclasses.dataclass(frozen=True)
class WireFormat:
    """How a deployment writes requests, dispatches and answers.

    `read_request` raises `Failure` with `MalformedRequest`; `read_event`
    returns None for a block that is no event.
    """

    read_request: collections.abc.Callable[..., CallerRequest]
    dispatch_headers: collections.abc.Callable[
        [CallerRequest, Dispatch], list[tuple[bytes, bytes]]
    ]
    read_head: collections.abc.Callable[..., AnswerHead]
    read_event: collections.abc.Callable[[bytes], NumberedEvent | None]
    read_table: collections.abc.Callable[[bytes], routing_table.RoutingTable]

"""Encoding of OpenAI-compatible answers, streamed and complete."""

import time
import typing

import orjson

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import sampling
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import tolerant_json

DONE_EVENT = b"data: [DONE]\n\n"
SEED_HEADER = "X-Seed"


def error_code(body: bytes) -> str | None:
    """Return the code in the body of an error reply, None without one."""
    try:
        return orjson.loads(body)["error"]["code"]
    except (*tolerant_json.DECODE_ERRORS, KeyError, TypeError):
        return None


class AnswerWriter:
    """Encode the deliveries of one generation.

    The event id is ``<generation>.<journal replica>.<offset>``, where the
    offset counts the tokens delivered up to the end of the event. Without
    a journal the replica is empty and the generation cannot be resumed.
    """

    def __init__(
        self,
        generation_id: ids.GenerationId,
        model: str,
        chat: bool,
    ) -> None:
        self._chat = chat
        self._generation_id = generation_id
        self._replica: ids.InstanceId | None = None
        self._id_prefix = f"id: {generation_id}..".encode()
        self._common_fields: dict[str, typing.Any] = {
            "id": ("chatcmpl-" if chat else "cmpl-") + generation_id,
            "object": ("chat.completion.chunk" if chat else "text_completion"),
            "created": int(time.time()),
            "model": model,
        }
        head = orjson.dumps(self._common_fields)[:-1]
        if chat:
            self._event_prefix = head + (
                b',"choices":[{"index":0,"delta":{"content":'
            )
            self._event_suffix = b'},"finish_reason":null}]}\n\n'
        else:
            self._event_prefix = head + b',"choices":[{"index":0,"text":'
            self._event_suffix = (
                b',"logprobs":null,"finish_reason":null}]}\n\n'
            )

    def set_replica(self, replica: ids.InstanceId | None) -> None:
        """Set the journal replica that the next event ids name."""
        if replica != self._replica:
            self._replica = replica
            self._id_prefix = (
                f"id: {self._generation_id}.{replica or ''}.".encode()
            )

    def opening_event(self) -> bytes:
        """Return the event that opens a chat stream with the role."""
        if not self._chat:
            return b""
        return self._event(
            {"delta": {"role": "assistant", "content": ""}}, None
        )

    def delivery_event(self, delivery: generations.Delivery) -> bytes:
        """Return the event of delivered tokens."""
        end_offset = delivery.offset + len(delivery.ids)
        return b"".join(
            (
                self._id_prefix,
                str(end_offset).encode(),
                b"\ndata: ",
                self._event_prefix,
                orjson.dumps(delivery.text),
                self._event_suffix,
            )
        )

    def final_events(
        self, generation: generations.Generation, include_usage: bool
    ) -> bytes:
        """Return the last events with the finish reason and the usage."""
        choice = {"delta": {}} if self._chat else {"text": ""}
        events = [self._event(choice, generation.finish_reason.value)]
        if include_usage:
            record = self._common_fields | {
                "choices": [],
                "usage": usage(generation),
            }
            events.append(b"data: " + orjson.dumps(record) + b"\n\n")
        return b"".join(events) + DONE_EVENT

    def complete_body(
        self, generation: generations.Generation, text: str
    ) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, typing.Any] = {
            "index": 0,
            "finish_reason": generation.finish_reason.value,
            "logprobs": None,
        }
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        record = self._common_fields | {
            "object": "chat.completion" if self._chat else "text_completion",
            "choices": [choice],
            "usage": usage(generation),
        }
        return orjson.dumps(record)

    def _event(self, choice: dict, finish_reason: str | None) -> bytes:
        full = {"index": 0} | choice | {"finish_reason": finish_reason}
        record = self._common_fields | {"choices": [full]}
        return b"data: " + orjson.dumps(record) + b"\n\n"


def usage(generation: generations.Generation) -> dict[str, int]:
    """Return the token counts of a finished generation."""
    completion = len(generation.delivered_ids)
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": generation.prompt_tokens + completion,
    }


def seed_headers(generation: generations.Generation) -> dict[str, str]:
    """Return headers that warn where a lost engine may change the answer.

    A continuation samples with another seed than the caller gave.
    """
    if sampling.is_seed_best_effort(generation.request.sampling):
        return {SEED_HEADER: "best-effort"}
    return {}


def error_body(error: errors.ServingError) -> bytes:
    """Return the JSON body of a failure with its type and outcome."""
    return orjson.dumps({"error": error_fields(error)})


def error_event(error: errors.ServingError) -> bytes:
    """Return a failure as the last event of a stream."""
    return b"data: " + error_body(error) + b"\n\n"


def error_fields(error: errors.ServingError) -> dict[str, typing.Any]:
    """Return the fields of a failure."""
    return {
        "type": error.code,
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome.value,
        "retry_after_ms": error.retry_after_ms,
    }

"""Parsing of OpenAI-compatible request bodies.

Unknown fields are ignored, so that common clients work unchanged; fields
whose effect could not be resumed on another engine are refused.
"""

import msgspec

from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import tolerant_json

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1 << 17
MAX_STOP_STRINGS = 4


class ContentPart(msgspec.Struct, frozen=True):
    """One part of a chat message; only text is supported."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields read from text and chat completion requests."""

    model: str
    prompt: str | list[str] | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    adapter: str = ""
    n: int | None = 1
    best_of: int | None = 1
    logprobs: object = None
    echo: bool | None = False
    tools: object = None
    use_beam_search: bool | None = False


_decode = msgspec.json.Decoder(CompletionBody).decode


def parse(data: bytes, chat: bool) -> CompletionBody:
    """Return the valid body or raise `Failure` with `MalformedRequest`."""
    try:
        body = _decode(data)
    except tolerant_json.DECODE_ERRORS as error:
        raise _malformed(str(error))
    if chat and not body.messages:
        raise _malformed("messages are required")
    if not chat and not isinstance(body.prompt, str):
        raise _malformed("prompt must be one string")
    refused = {
        "n": (body.n or 1) > 1,
        "best_of": (body.best_of or 1) > 1,
        "logprobs": bool(body.logprobs),
        "echo": bool(body.echo),
        "tools": bool(body.tools),
        "use_beam_search": bool(body.use_beam_search),
    }
    for field, is_refused in refused.items():
        if is_refused:
            raise _malformed(f"{field} is not supported: it cannot be resumed")
    return body


def generation_request(
    body: CompletionBody,
    workspace: ids.WorkspaceId,
    content: configuration.Configuration,
) -> generations.GenerationRequest:
    """Fix the model version, adapter and parameters of a request.

    Raise `Failure` with `UnknownModel` or `MalformedRequest`.
    """
    model = content.model(body.model)
    if model is None:
        raise errors.Failure(
            errors.UnknownModel(f"there is no model {body.model!r}")
        )
    if body.adapter and body.adapter not in model.adapters:
        raise errors.Failure(
            errors.UnknownModel(f"there is no adapter {body.adapter!r}")
        )
    return generations.GenerationRequest(
        workspace=workspace,
        model=model.name,
        version=model.version,
        adapter=body.adapter,
        prompt=_prompt(body),
        max_tokens=_max_tokens(body),
        sampling=_sampling(body),
        stop=_stop_strings(body),
    )


def _prompt(body: CompletionBody) -> str:
    if body.messages is None:
        return str(body.prompt)
    return "".join(
        f"{message.role}: {_text(message.content)}\n"
        for message in body.messages
    )


def _text(content: str | list[ContentPart] | None) -> str:
    if isinstance(content, str):
        return content
    if any(part.type != "text" for part in content or ()):
        raise _malformed("only text content is supported")
    return "".join(part.text for part in content or ())


def _max_tokens(body: CompletionBody) -> int:
    requested = body.max_completion_tokens or body.max_tokens
    if requested is None:
        return DEFAULT_MAX_TOKENS
    if not 1 <= requested <= MAX_TOKENS_LIMIT:
        raise _malformed(f"max_tokens must be 1 to {MAX_TOKENS_LIMIT}")
    return requested


def _sampling(body: CompletionBody) -> engine_protocol.Sampling:
    temperature = 0.0 if body.temperature is None else body.temperature
    top_p = 1.0 if body.top_p is None else body.top_p
    if not 0 <= temperature <= 2:
        raise _malformed("temperature must be 0 to 2")
    if not 0 < top_p <= 1:
        raise _malformed("top_p must be above 0 and at most 1")
    return engine_protocol.Sampling(
        temperature=temperature,
        top_p=top_p,
        seed=body.seed,
        presence_penalty=body.presence_penalty or 0.0,
        frequency_penalty=body.frequency_penalty or 0.0,
    )


def _stop_strings(body: CompletionBody) -> tuple[str, ...]:
    stop_strings = (
        [body.stop] if isinstance(body.stop, str) else body.stop or []
    )
    if len(stop_strings) > MAX_STOP_STRINGS or "" in stop_strings:
        raise _malformed(
            f"stop takes up to {MAX_STOP_STRINGS} non-empty strings"
        )
    return tuple(stop_strings)


def _malformed(message: str) -> errors.Failure:
    return errors.Failure(errors.MalformedRequest(message))

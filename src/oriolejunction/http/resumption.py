"""Resumption of a generation after the last event a caller received."""

import dataclasses

from aiohttp import web

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import journal_owner
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.peers import journal_client

LAST_EVENT_ID_HEADER = "Last-Event-ID"
MAX_OFFSET_DIGITS = 9


@dataclasses.dataclass(frozen=True)
class EventId:
    """Id of an event; `offset` counts the tokens up to its end."""

    generation: ids.GenerationId
    replica: ids.InstanceId
    offset: int


@dataclasses.dataclass(frozen=True)
class PendingAnswer:
    """A generation to stream, and how many tokens its caller received."""

    generation: generations.Generation
    journal: journal_owner.OwnedJournal | None
    received_tokens: int = 0


def parse_event_id(text: str) -> EventId:
    """Parse an event id.

    Raise `Failure` with `ResumeRefused` for a malformed id, or with
    `GenerationLost` where the generation was not protected.
    """
    generation, first_dot, rest = text.strip().partition(".")
    replica, second_dot, offset = rest.rpartition(".")
    well_formed = (
        generation
        and first_dot
        and second_dot
        and offset.isascii()
        and offset.isdecimal()
        and len(offset) <= MAX_OFFSET_DIGITS
    )
    if not well_formed:
        raise errors.Failure(
            errors.ResumeRefused(
                f"malformed {LAST_EVENT_ID_HEADER} {text[:200]!r}"
            )
        )
    if not replica:
        raise errors.Failure(
            errors.GenerationLost(
                "the generation was not journalled; discard the part received"
            )
        )
    return EventId(
        ids.GenerationId(generation), ids.InstanceId(replica), int(offset)
    )


async def resume(
    request: web.Request,
    generation_request: generations.GenerationRequest,
    journals: journal_client.JournalClient,
) -> PendingAnswer:
    """Take over the generation that `Last-Event-ID` names.

    Raise `Failure` with `ResumeRefused`, `GenerationLost` or
    `JournalUnavailable`.
    """
    event = parse_event_id(request.headers[LAST_EVENT_ID_HEADER])
    journal = await journals.take_over(
        event.generation, generation_request, event.replica, event.offset
    )
    generation = generations.Generation(event.generation, journal.request)
    last_attempt = journal.owner * journal_owner.ATTEMPTS_PER_OWNER
    prompt_tokens = journal.finish.prompt_tokens if journal.finish else 0
    generation.restore(
        journal.tokens.ids, ids.AttemptNumber(last_attempt), prompt_tokens
    )
    if journal.finish is not None:
        generation.finish_reason = journal.finish.reason
    return PendingAnswer(generation, journal, event.offset)

"""Typed messages between the owner of a generation and its journal.

Records are MessagePack arrays without field names, to stay small: there is
one for each engine event.
"""

import msgspec

from oriolejunction.controllers import generation as generations
from oriolejunction import ids
from oriolejunction import message_base
from oriolejunction import states
from oriolejunction import token_log


class JournalFinish(msgspec.Struct, frozen=True, array_like=True):
    """The end of a generation."""

    reason: states.FinishReason
    prompt_tokens: int


class JournalRecord(message_base.Message, frozen=True, array_like=True):
    """Base of the records of a batch.

    `owner` is the owner number: a fencing token of the instance that owns
    the generation. It rises with each takeover.
    """

    generation: ids.GenerationId
    owner: ids.OwnerNumber


class JournalOpen(JournalRecord, frozen=True, array_like=True):
    """Journal a generation from its first token to its latest."""

    instance: ids.InstanceId
    request: generations.GenerationRequest
    tokens: token_log.PackedTokens = token_log.PackedTokens()
    finish: JournalFinish | None = None


class JournalAppend(JournalRecord, frozen=True, array_like=True):
    """Append tokens at an offset."""

    offset: int
    ids: tuple[int, ...]
    text: str
    finish: JournalFinish | None = None


class JournalClose(JournalRecord, frozen=True, array_like=True):
    """Delete a generation that its caller no longer needs."""


class JournalBatch(message_base.Message, frozen=True):
    """Records of many generations, in order for each generation."""

    records: tuple[JournalOpen | JournalAppend | JournalClose, ...]


class JournalRefused(message_base.Message, frozen=True):
    """A record of a generation was refused."""

    generation: ids.GenerationId
    owner: ids.OwnerNumber
    reason: states.JournalRefusal


class JournalBatchReply(message_base.Message, frozen=True):
    """All records were applied except those of refused generations."""

    refused: tuple[JournalRefused, ...] = ()


class JournalTakeOver(message_base.Message, frozen=True):
    """Make `instance` the owner for a caller that received `offset` tokens.

    `request` is the resent request; only its model version may differ.
    """

    generation: ids.GenerationId
    request: generations.GenerationRequest
    offset: int
    instance: ids.InstanceId


class JournalContent(message_base.Message, frozen=True):
    """A journalled generation, as sent to its new owner."""

    generation: ids.GenerationId
    owner: ids.OwnerNumber
    request: generations.GenerationRequest
    tokens: token_log.PackedTokens
    finish: JournalFinish | None


class JournalTakeOverReply(message_base.Message, frozen=True):
    """The content, or why the takeover was refused."""

    content: JournalContent | None = None
    refusal: states.JournalRefusal | None = None

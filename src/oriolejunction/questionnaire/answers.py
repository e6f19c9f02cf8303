"""The answers to a questionnaire, and their TOML file."""

import re

import msgspec
import tomli_w

from oriolejunction import configuration
from oriolejunction import errors
from oriolejunction import states
from oriolejunction import tolerant_json

KEY_DIGEST_PREFIX = "sha256:"


class ModelAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model with the version and adapters that are served."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


class EngineAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A backend server that generates tokens."""

    name: str
    url: str
    zone: str
    model: str
    checks_fencing: bool = False


class ServiceAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service; `never_twice` holds ``METHOD /path-prefix``."""

    name: str
    urls: tuple[str, ...]
    never_twice: tuple[str, ...] = ()
    lookup: str = ""


class WorkspaceAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace; `key` is the bearer key or its ``sha256:`` digest."""

    name: str
    key: str
    share: int = 1
    tokens_per_s: int = 0
    concurrent_requests: int = 0


class Answers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All answers, one field for each question in order."""

    measure: states.Objective
    zones: tuple[str, ...]
    weight_loads_per_minute: int = 6
    models: tuple[ModelAnswer, ...] = ()
    engines: tuple[EngineAnswer, ...] = ()
    services: tuple[ServiceAnswer, ...] = ()
    workspaces: tuple[WorkspaceAnswer, ...] = ()
    confirmed: tuple[str, ...] = ()


def parse(text: str) -> Answers:
    """Return the answers of a TOML text.

    Raise `Failure` with `FaultyAnswers` if it cannot be decoded.
    """
    try:
        return msgspec.toml.decode(text, type=Answers)
    except tolerant_json.DECODE_ERRORS as error:
        raise errors.Failure(errors.FaultyAnswers(_format_fault(str(error))))


def _format_fault(text: str) -> str:
    """Return a decoding error, with its question if it concerns one."""
    what, _, path = text.partition(" - at `$.")
    field, entry = re.match(r"(\w*)(?:\[(\d+)\])?", path).groups()
    if field not in Answers.__struct_fields__:
        return f"the answers cannot be read: {text}"
    number = Answers.__struct_fields__.index(field) + 1
    where = f"entry {int(entry) + 1}: " if entry else ""
    return f"question {number}: {where}{what}"


def dump(answers: Answers) -> str:
    """Return the answers as TOML."""
    return tomli_w.dumps(msgspec.to_builtins(answers))


def key_digest(key: str) -> str:
    """Return the digest of a key, given in clear text or as a digest."""
    if key.startswith(KEY_DIGEST_PREFIX):
        return key.removeprefix(KEY_DIGEST_PREFIX)
    return configuration.key_digest(key)


def redact_keys(answers: Answers) -> Answers:
    """Return the answers with each workspace key replaced by its digest."""
    workspaces = tuple(
        msgspec.structs.replace(
            workspace, key=KEY_DIGEST_PREFIX + key_digest(workspace.key)
        )
        for workspace in answers.workspaces
    )
    return msgspec.structs.replace(answers, workspaces=workspaces)

"""Checks of the answers; each fault names its question."""

import collections
import collections.abc
import dataclasses
import ipaddress
import re

import yarl

from oriolejunction import errors
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import questions

_NAME = re.compile(r"[\w.-]+")
METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of the answers to a question."""

    question: int
    text: str

    def describe(self) -> str:
        """Return the fault with the number of its question."""
        return f"question {self.question}: {self.text}"


Faults = collections.abc.Iterator[tuple[str, str]]


def find_faults(answers: answer_files.Answers) -> list[Fault]:
    """Return all faults, in the order of the questions."""
    pairs = [
        *_zone_faults(answers),
        *_weight_store_faults(answers),
        *_model_faults(answers),
        *_engine_faults(answers),
        *_service_faults(answers),
        *_workspace_faults(answers),
    ]
    return [
        Fault(questions.number_by_field[field], text) for field, text in pairs
    ]


def require_valid(answers: answer_files.Answers) -> answer_files.Answers:
    """Return the answers or raise `Failure` with `FaultyAnswers`."""
    faults = find_faults(answers)
    if faults:
        text = "\n".join(fault.describe() for fault in faults)
        raise errors.Failure(errors.FaultyAnswers(text))
    return answers


def _zone_faults(answers: answer_files.Answers) -> Faults:
    if not answers.zones:
        yield "zones", "at least one availability zone is needed"
    yield from _name_faults("zones", answers.zones)


def _weight_store_faults(answers: answer_files.Answers) -> Faults:
    if answers.weight_loads_per_minute < 1:
        yield "weight_loads_per_minute", "at least 1 load per minute is needed"


def _model_faults(answers: answer_files.Answers) -> Faults:
    names = [model.name for model in answers.models]
    yield from _name_faults("models", names)
    served = {engine.model for engine in answers.engines}
    for model in answers.models:
        if model.name not in served:
            yield "models", f"no engine serves the model {model.name!r}"
        if not model.version:
            yield "models", f"{model.name!r} has no version"
        if len(set(model.adapters)) < len(model.adapters):
            yield "models", f"{model.name!r} lists an adapter twice"


def _engine_faults(answers: answer_files.Answers) -> Faults:
    yield from _name_faults("engines", [e.name for e in answers.engines])
    yield from _duplicate_faults("engines", [e.url for e in answers.engines])
    models = {model.name for model in answers.models}
    for engine in answers.engines:
        if engine.zone not in answers.zones:
            yield "engines", (
                f"{engine.name!r} is in the unknown zone {engine.zone!r}"
            )
        if engine.model not in models:
            yield "engines", (
                f"{engine.name!r} serves the unknown model {engine.model!r}"
            )
        if not _is_url(engine.url):
            yield "engines", (
                f"{engine.name!r} needs an address like"
                f" http://10.0.0.1:8000, not {engine.url!r}"
            )


def _service_faults(answers: answer_files.Answers) -> Faults:
    yield from _name_faults("services", [s.name for s in answers.services])
    for service in answers.services:
        if not service.urls:
            yield "services", f"{service.name!r} has no address"
        for url in service.urls:
            if not _is_url(url):
                yield "services", (
                    f"{service.name!r} has the invalid address {url!r}"
                )
        if service.lookup and not _is_lookup(service.lookup):
            yield "services", (
                f"{service.name!r}: the lookup {service.lookup!r} should be"
                " like '/orders/by-key/{key}'"
            )
        for pattern in service.never_twice:
            method, _, path = pattern.partition(" ")
            if method not in METHODS or not path.startswith("/"):
                yield "services", (
                    f"{service.name!r}: {pattern!r} should be like"
                    " 'POST /orders'"
                )


def _workspace_faults(answers: answer_files.Answers) -> Faults:
    entries = answers.workspaces
    if not entries:
        yield "workspaces", "at least one workspace is needed"
    yield from _name_faults("workspaces", [w.name for w in entries])
    digests = [answer_files.key_digest(w.key) for w in entries]
    if len(set(digests)) < len(digests):
        yield "workspaces", "two workspaces have the same key"
    for workspace in entries:
        if not workspace.key:
            yield "workspaces", f"{workspace.name!r} has no key"
        if workspace.share < 1:
            yield "workspaces", (
                f"{workspace.name!r} needs a share of at least 1"
            )
        if workspace.tokens_per_s < 0 or workspace.concurrent_requests < 0:
            yield "workspaces", f"{workspace.name!r} has a negative limit"


def _name_faults(field: str, names: collections.abc.Iterable[str]) -> Faults:
    yield from _duplicate_faults(field, names)
    for name in dict.fromkeys(names):
        if not name:
            yield field, "a name is empty"
        elif not _NAME.fullmatch(name):
            yield field, (
                f"the name {name!r} may only have letters, digits, '.', '-'"
                " and '_'"
            )


def _duplicate_faults(
    field: str, values: collections.abc.Iterable[str]
) -> Faults:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield field, f"{value!r} is given {count} times"


def _is_lookup(path: str) -> bool:
    return path.startswith("/") and path.count("{key}") == 1


def _is_url(text: str) -> bool:
    try:
        url = yarl.URL(text)
        ipaddress.ip_address(url.host or "")
    except ValueError:
        return False
    return url.scheme in ("http", "https") and url.path in ("", "/")

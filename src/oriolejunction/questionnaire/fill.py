"""Interactive input of the answers, question by question."""

import collections.abc

import msgspec

from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import questions

Ask = collections.abc.Callable[[str], str]
Say = collections.abc.Callable[[str], None]


def fill(
    known: answer_files.Answers | None, ask: Ask, say: Say
) -> answer_files.Answers:
    """Ask each question; an empty line keeps the known answer."""
    value_by_field = msgspec.to_builtins(known) if known else {}
    for question in questions.QUESTIONS:
        say(f"\n{question.number}. {question.text}")
        if question.entry_type is None:
            _ask_value(question, value_by_field, ask, say)
        else:
            _ask_entries(question, value_by_field, ask, say)
    return msgspec.convert(value_by_field, answer_files.Answers, strict=False)


def _ask_value(
    question: questions.Question, value_by_field: dict, ask: Ask, say: Say
) -> None:
    field = _field_info(answer_files.Answers, question.field)
    while True:
        default = value_by_field.get(question.field, field.default)
        value = _parse_answer(
            ask(f"{_default_hint(default)}> "), field, default
        )
        if value is not msgspec.NODEFAULT:
            value_by_field[question.field] = value
            return
        say("The answer is missing or invalid.")


def _ask_entries(
    question: questions.Question, value_by_field: dict, ask: Ask, say: Say
) -> None:
    known = list(value_by_field.get(question.field, []))
    if known:
        names = ", ".join(entry["name"] for entry in known)
        say(f"Known: {names}. Enter a known name to change it,")
        say("or '-' directly before a known name (no space) to remove it.")
    say("Enter an empty name to end the list.")
    entry_by_name = {entry["name"]: entry for entry in known}
    while name := ask("name> ").strip():
        if name.startswith("-"):
            entry_by_name.pop(name[1:], None)
            continue
        entry_by_name[name] = _ask_entry(
            question.entry_type, entry_by_name.get(name, {"name": name}), ask
        )
    value_by_field[question.field] = list(entry_by_name.values())


def _ask_entry(entry_type: type, known: dict, ask: Ask) -> dict:
    entry = dict(known)
    for field in msgspec.structs.fields(entry_type):
        if field.name == "name":
            continue
        value = msgspec.NODEFAULT
        while value is msgspec.NODEFAULT:
            default = entry.get(field.name, field.default)
            raw = ask(f"  {field.name}{_default_hint(default)}> ")
            value = _parse_answer(raw, field, default)
        entry[field.name] = value
    return entry


def _parse_answer(raw: str, field: msgspec.structs.FieldInfo, default: object):
    raw = raw.strip()
    if not raw:
        return default
    value: object = raw
    if str(field.type).startswith("tuple"):
        separator = ";" if field.name == "confirmed" else ","
        value = [item.strip() for item in raw.split(separator)]
    try:
        return msgspec.to_builtins(
            msgspec.convert(value, field.type, strict=False)
        )
    except msgspec.ValidationError:
        return msgspec.NODEFAULT


def _default_hint(default: object) -> str:
    if default is msgspec.NODEFAULT:
        return ""
    if isinstance(default, (list, tuple)):
        return f" [{', '.join(map(str, default))}]"
    return f" [{default}]"


def _field_info(struct: type, name: str) -> msgspec.structs.FieldInfo:
    return next(
        field for field in msgspec.structs.fields(struct) if field.name == name
    )

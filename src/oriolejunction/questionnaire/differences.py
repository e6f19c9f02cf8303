"""Differences between two configurations, as sentences."""

import collections.abc

import msgspec

from oriolejunction import configuration

_KEY_BY_SECTION = {
    "models": ("model", "name"),
    "engines": ("engine", "engine_id"),
    "services": ("service", "name"),
    "workspaces": ("workspace", "workspace_id"),
}
_LABEL_BY_FIELD = {
    "checks_fencing": "checking of fencing numbers",
    "never_twice": "calls that never run twice",
    "lookup_path": "lookup of a call",
    "tokens_per_s": "limit of tokens a second",
    "concurrent_requests": "limit of requests at once",
    "url": "address",
    "urls": "addresses",
}
_SECRET_FIELDS = frozenset({"key_digest"})


def describe_differences(
    before: configuration.Configuration | None,
    after: configuration.Configuration,
) -> collections.abc.Iterator[str]:
    """Yield one sentence for each difference."""
    if before is None:
        yield "this is the first configuration"
        return
    if before.measure is not after.measure:
        yield (
            f"what matters more changes from {before.measure.value}"
            f" to {after.measure.value}"
        )
    if before.zones != after.zones:
        yield f"availability zones become {', '.join(after.zones)}"
    if before.weight_loads_per_minute != after.weight_loads_per_minute:
        yield (
            "model loads a minute change from"
            f" {before.weight_loads_per_minute}"
            f" to {after.weight_loads_per_minute}"
        )
    for section, (noun, key) in _KEY_BY_SECTION.items():
        yield from _describe_entries(
            noun,
            {getattr(e, key): e for e in getattr(before, section)},
            {getattr(e, key): e for e in getattr(after, section)},
        )


def _describe_entries(
    noun: str,
    before_by_name: dict[str, msgspec.Struct],
    after_by_name: dict[str, msgspec.Struct],
) -> collections.abc.Iterator[str]:
    for name in sorted(before_by_name.keys() - after_by_name.keys()):
        yield f"{noun} {name} is removed"
    for name in sorted(after_by_name.keys() - before_by_name.keys()):
        yield f"{noun} {name} is added"
    for name in sorted(before_by_name.keys() & after_by_name.keys()):
        before, after = before_by_name[name], after_by_name[name]
        for field in before.__struct_fields__:
            old, new = getattr(before, field), getattr(after, field)
            if old == new:
                continue
            if field in _SECRET_FIELDS:
                yield f"{noun} {name} gets another key"
            else:
                label = _LABEL_BY_FIELD.get(field, field)
                yield (
                    f"{noun} {name}: {label} changes from"
                    f" {_format_value(old)} to {_format_value(new)}"
                )


def _format_value(value: object) -> str:
    if isinstance(value, configuration.CallPattern):
        return f"{value.method} {value.path_prefix}"
    if isinstance(value, tuple):
        return ", ".join(map(_format_value, value)) or "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if value is None:
        return "none"
    plain = msgspec.to_builtins(value)
    if isinstance(plain, str):
        return plain
    return msgspec.json.encode(plain).decode()

"""What two builds can't read of each other."""

import collections.abc
import itertools

from tests.updates import layouts


def differences(
    former: layouts.Recording, today: layouts.Recording
) -> collections.abc.Iterator[str]:
    """Yield what one of two builds can't read of the other.

    Unknown fields at the end of an array or in a map are ignored, and missing
    ones have their defaults; all other changes count.
    """
    for name, layout in former.roots.items():
        if name not in today.roots:
            yield f"{name}: is gone"
        else:
            yield from _type_differences(name, layout, today.roots[name])
    for name, struct in former.structs.items():
        if name not in today.structs:
            yield f"{name}: is gone"
        else:
            yield from _struct_differences(name, struct, today.structs[name])


def _struct_differences(
    name: str, former: layouts.StructLayout, today: layouts.StructLayout
) -> collections.abc.Iterator[str]:
    if former.tag != today.tag or former.is_array != today.is_array:
        yield f"{name}: is encoded in another way"
        return
    fields = list(itertools.zip_longest(former.fields, today.fields))
    if not former.is_array:
        today_by_name = {field[0]: field for field in today.fields}
        fields = [
            (field, today_by_name.pop(field[0], None))
            for field in former.fields
        ]
        fields += [(None, field) for field in today_by_name.values()]
    for before, after in fields:
        if before is None:
            if after[2]:
                yield f"{name}.{after[0]}: is not sent by the earlier build"
        elif after is None:
            if before[2]:
                yield f"{name}.{before[0]}: is missed by the earlier build"
        elif before[0] != after[0]:
            yield f"{name}.{before[0]}: has another name or place"
        else:
            yield from _type_differences(
                f"{name}.{before[0]}", before[1], after[1]
            )


def _type_differences(
    name: str, former: layouts.Layout, today: layouts.Layout
) -> collections.abc.Iterator[str]:
    if former == today:
        return
    before, after = _members(former), _members(today)
    if len(before) == len(after) == 1:
        if isinstance(former, str) or isinstance(today, str):
            yield f"{name}: was {former}, is {today}"
        elif former[0] != today[0] or len(former) != len(today):
            yield f"{name}: was {former}, is {today}"
        else:
            for one, other in zip(former[1:], today[1:]):
                yield from _type_differences(name, one, other)
        return
    for member in before:
        if member not in after:
            yield f"{name}: can't be {member} any more"
    for member in after:
        if member not in before:
            yield f"{name}: can be {member}"


def _members(layout: layouts.Layout) -> list[layouts.Layout]:
    """Return what a value can be: the members of a union or enumeration."""
    if isinstance(layout, list) and layout[0] in ("union", "enum", "literal"):
        return layout[1:]
    return [layout]

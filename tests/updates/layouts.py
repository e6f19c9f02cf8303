"""Layouts and samples of all messages and files of the build that runs this.

Run with the packages of any build first on PYTHONPATH: it imports nothing
else of this repository, and prints both as JSON.
"""

import importlib
import json
import sys
import typing

import msgspec

METHOD_MODULES = (
    "oriolejunction.peers.fleet_methods",
    "oriolejunction.peers.journal_methods",
    "oriolejunction.peers.methods",
    "oriolejunction.peers.raft_methods",
)
# Modules and names of what is stored in files, or within messages as bytes.
STORED = (
    ("oriolejunction.consensus.storage", "_LogRecord"),
    ("oriolejunction.consensus.types", "Snapshot"),
    ("oriolejunction.consensus.applier", "SnapshotBody"),
    ("oriolejunction.consensus.identity", "Identity"),
    ("oriolejunction.consensus.version_file", "_Record"),
    ("oriolejunction.controllers.control_state", "ControlState"),
    ("oriolejunction.commands", "Command"),
    ("oriolejunction.messages", "AuditEntry"),
)
# What a field can hold, without the structs: a name, or one with arguments.
Layout = str | list


class StructLayout(msgspec.Struct):
    """How a struct is encoded; each field has a name, type and necessity."""

    tag: str | int | None
    is_array: bool
    fields: list[tuple[str, typing.Any, bool]]


class Recording(msgspec.Struct):
    """Layouts by the name of the struct, and an encoded sample of each."""

    structs: dict[str, StructLayout]
    roots: dict[str, typing.Any]
    samples: dict[str, bytes]


def name_of(struct: type) -> str:
    return f"{struct.__module__}.{struct.__qualname__}"


def root_types() -> dict[str, typing.Any]:
    """Return the types of all calls and files of this build by name."""
    found: dict[str, typing.Any] = {}
    for module_name in METHOD_MODULES:
        module = importlib.import_module(module_name)
        for method in vars(module).values():
            if hasattr(method, "request_type"):
                name = f"{method.service}/{method.name}"
                found[f"{name} request"] = method.request_type
                found[f"{name} reply"] = method.reply_type
    for module_name, name in STORED:
        try:
            module = importlib.import_module(module_name)
        except ModuleNotFoundError:
            continue
        found[f"{module_name}.{name}"] = getattr(module, name)
    return found


class Recorder:
    """Collects the structs that types lead to."""

    def __init__(self) -> None:
        self.classes: dict[str, type] = {}
        self.structs: dict[str, StructLayout] = {}

    def layout(self, info: msgspec.inspect.Type) -> Layout:
        """Return the layout of a type, and collect its structs."""
        inspect = msgspec.inspect
        match info:
            case inspect.StructType() | inspect.DataclassType():
                self._add(info)
                return ["struct", name_of(info.cls)]
            case inspect.UnionType():
                members = [self.layout(each) for each in info.types]
                return ["union", *sorted(members, key=json.dumps)]
            case inspect.EnumType():
                values = [each.value for each in info.cls]
                return ["enum", *sorted(values, key=str)]
            case inspect.DictType():
                key = self.layout(info.key_type)
                return ["dict", key, self.layout(info.value_type)]
            case inspect.TupleType():
                items = [self.layout(each) for each in info.item_types]
                return ["tuple", *items]
            case inspect.CollectionType():
                return ["list", self.layout(info.item_type)]
            case inspect.Metadata():
                return self.layout(info.type)
            case inspect.LiteralType():
                return ["literal", *sorted(info.values, key=str)]
        return type(info).__name__

    def _add(
        self, info: msgspec.inspect.StructType | msgspec.inspect.DataclassType
    ) -> None:
        name = name_of(info.cls)
        if name in self.structs:
            return
        self.classes[name] = info.cls
        # Encoded as a struct without a tag.
        tag, is_array = None, False
        if isinstance(info, msgspec.inspect.StructType):
            tag, is_array = info.tag, info.array_like
        self.structs[name] = added = StructLayout(tag, is_array, [])
        for field in info.fields:
            added.fields.append(
                (field.encode_name, self.layout(field.type), field.required)
            )


def sample(info: msgspec.inspect.Type) -> typing.Any:
    """Return a value of a type with as much in it as its type allows."""
    inspect = msgspec.inspect
    match info:
        case inspect.StructType() | inspect.DataclassType():
            return info.cls(
                **{field.name: sample(field.type) for field in info.fields}
            )
        case inspect.UnionType():
            members = [
                each
                for each in info.types
                if not isinstance(each, inspect.NoneType)
            ]
            return sample(members[0])
        case inspect.EnumType():
            return next(iter(info.cls))
        case inspect.DictType():
            key = sample(info.key_type)
            # Other keys can be read only with the type at hand.
            if not isinstance(key, str | int):
                return {}
            return {key: sample(info.value_type)}
        case inspect.TupleType():
            return tuple(sample(each) for each in info.item_types)
        case inspect.FrozenSetType() | inspect.SetType():
            return {sample(info.item_type)}
        case inspect.CollectionType():
            return [sample(info.item_type)]
        case inspect.Metadata():
            return sample(info.type)
        case inspect.LiteralType():
            return info.values[0]
        case inspect.BoolType():
            return True
        case inspect.IntType():
            return 1
        case inspect.FloatType():
            return 0.5
        case inspect.StrType():
            return "text"
        case inspect.BytesType() | inspect.ByteArrayType():
            return b"bytes"
        case inspect.NoneType():
            return None
    raise TypeError(f"no sample of {info}")


def types_and_recording() -> tuple[dict[str, type], Recording]:
    """Return the structs of this build by name, and its recording."""
    recorder = Recorder()
    roots = {
        name: recorder.layout(msgspec.inspect.type_info(found))
        for name, found in root_types().items()
    }
    samples = {
        name: msgspec.msgpack.encode(sample(msgspec.inspect.type_info(found)))
        for name, found in recorder.classes.items()
    }
    return recorder.classes, Recording(recorder.structs, roots, samples)


def main() -> None:
    """Print the recording of the build that is imported."""
    _, recording = types_and_recording()
    sys.stdout.buffer.write(msgspec.json.encode(recording))


if __name__ == "__main__":
    main()

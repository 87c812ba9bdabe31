"""Generates the classes of peer.thrift's messages as Python source.

Parsing the IDL at run time took a fifth of the routing daemon's start-up time; the
generated classes are the same as those that thriftpy2 creates from the IDL.
"""

from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any

from thriftpy2 import load
from thriftpy2.thrift import TPayload, TType

PACKAGE = Path(__file__).parents[1] / "marjoramstile" / "peers"
IDL_PATH = PACKAGE / "peer.thrift"
OUTPUT_PATH = PACKAGE / "peer_types.py"
SERVICE = "Peer"

_HEADER = '''"""Messages between daemons, as thriftpy2's classes.

Written by ``make generate`` from peer.thrift; change that file, not this one.
"""

from thriftpy2.thrift import TPayload, TType
'''
_TYPE_NAMES = {
    TType.BOOL: "TType.BOOL",
    TType.I32: "TType.I32",
    TType.I64: "TType.I64",
    TType.DOUBLE: "TType.DOUBLE",
    TType.STRING: "TType.STRING",
    TType.BINARY: "TType.BINARY",
    TType.STRUCT: "TType.STRUCT",
    TType.LIST: "TType.LIST",
}


def generate() -> str:
    """Return the source code of all message classes and the service."""
    idl = load(str(IDL_PATH), module_name="peer_idl_thrift")
    parts = [_HEADER]
    parts += [_struct(item) for item in _structs(idl)]
    parts.append(_service(getattr(idl, SERVICE)))
    return "\n\n".join(parts)


def _structs(idl: ModuleType) -> Iterator[type[TPayload]]:
    """Yield the structs in the IDL's order: each is defined before it is used."""
    for value in vars(idl).values():
        if isinstance(value, type) and issubclass(value, TPayload):
            yield value


def _struct(struct: type[TPayload]) -> str:
    lines = [
        f"class {_struct_name(struct)}(TPayload):",
        f'    """See {struct.__name__} in peer.thrift."""',
        "",
        *_fields(struct),
    ]
    return "\n".join(lines) + "\n"


def _fields(struct: type[TPayload]) -> list[str]:
    """Return the source lines of the class attributes that thriftpy2 reads."""
    spec = [
        f"        {number}: {_field(field)},"
        for number, field in struct.thrift_spec.items()
    ]
    defaults = [f"        {item!r}," for item in struct.default_spec]
    return [
        f"    _ttype = {_TYPE_NAMES[TType.STRUCT]}",
        "    thrift_spec = {",
        *spec,
        "    }",
        "    default_spec = [",
        *(line.replace("'", '"') for line in defaults),
        "    ]",
    ]


def _field(field: tuple[Any, ...]) -> str:
    """Return the source of a field: type, name, element type if any, and required."""
    kind, name, *element, required = field
    parts = [_TYPE_NAMES[kind], f'"{name}"']
    parts += [_element(item) for item in element]
    return f"({', '.join([*parts, str(required)])})"


def _element(element: Any) -> str:
    if isinstance(element, tuple):
        kind, struct = element
        return f"({_TYPE_NAMES[kind]}, {_struct_name(struct)})"
    if isinstance(element, type):
        return _struct_name(element)
    return _TYPE_NAMES[element]


def _struct_name(struct: type[TPayload]) -> str:
    """Return the class name, prefixed to tell it from the daemon's own types."""
    return f"Wire{struct.__name__}"


def _service(service: type) -> str:
    """Return the service, with an argument and a result class for each method."""
    names = service.thrift_services
    parts = [_payload(service, name) for name in names]
    listed = [f'        "{name}",' for name in names]
    attributes = [
        f"    {name}_{part} = {_class_name(name, part)}"
        for name in names
        for part in ("args", "result")
    ]
    lines = [
        f"class {service.__name__}Service:",
        '    """The service that every daemon offers to its peers."""',
        "",
        "    thrift_services = [",
        *listed,
        "    ]",
        *attributes,
    ]
    return "\n\n".join([*parts, "\n".join(lines) + "\n"])


def _payload(service: type, name: str) -> str:
    """Return the source of the argument and the result class of a method."""
    sources = []
    for part in ("args", "result"):
        payload = getattr(service, f"{name}_{part}")
        lines = [
            f"class {_class_name(name, part)}(TPayload):",
            f'    """The {_PARTS[part]} of {name}."""',
            "",
            *_fields(payload),
        ]
        if part == "result":
            lines.append("    oneway = False")
        sources.append("\n".join(lines) + "\n")
    return "\n\n".join(sources)


_PARTS = {"args": "arguments", "result": "result"}


def _class_name(method: str, part: str) -> str:
    """Return a class name, such as AskSlotArgs for ask_slot and args."""
    return "".join(word.capitalize() for word in [*method.split("_"), part])


def main() -> None:
    """Replace OUTPUT_PATH by the generated source, which is written in full first."""
    written = OUTPUT_PATH.with_suffix(".new")
    written.write_text(generate())
    written.replace(OUTPUT_PATH)


if __name__ == "__main__":
    main()

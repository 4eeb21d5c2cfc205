"""Messages of the gRPC way.

Their descriptors are made here rather than generated: they exist for the comparison
only and no instance speaks them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from google.protobuf.descriptor_pb2 import (
    DescriptorProto,
    FieldDescriptorProto,
    FileDescriptorProto,
)
from google.protobuf.descriptor_pool import DescriptorPool
from google.protobuf.message_factory import GetMessageClass

PACKAGE: Final = "swiftpin.bench.hop"
SERVICE: Final = f"/{PACKAGE}.Hop"
METHOD_WHOLE: Final = f"{SERVICE}/Whole"
METHOD_STREAM: Final = f"{SERVICE}/Stream"

_Field = FieldDescriptorProto


def _describe() -> FileDescriptorProto:
    """Return the descriptors of a header, a request part and an answer part."""
    file = FileDescriptorProto(name="hop.proto", package=PACKAGE, syntax="proto3")
    header = file.message_type.add(name="Header")
    _add(header, "name", 1, _Field.TYPE_STRING)
    _add(header, "value", 2, _Field.TYPE_STRING)
    request = file.message_type.add(name="RequestPart")
    _add(request, "method", 1, _Field.TYPE_STRING)
    _add(request, "path", 2, _Field.TYPE_STRING)
    _add_headers(request)
    _add(request, "body", 4, _Field.TYPE_BYTES)
    answer = file.message_type.add(name="AnswerPart")
    _add(answer, "status", 1, _Field.TYPE_UINT32)
    _add_headers(answer)
    _add(answer, "body", 4, _Field.TYPE_BYTES)
    return file


def _add(message: DescriptorProto, name: str, number: int, kind: Any) -> None:  # noqa: ANN401 - an enum that only its stubs know
    """Add a single field."""
    message.field.add(name=name, number=number, type=kind, label=_Field.LABEL_OPTIONAL)


def _add_headers(message: DescriptorProto) -> None:
    """Add the list of headers, in the order in which they came."""
    message.field.add(
        name="headers",
        number=3,
        type=_Field.TYPE_MESSAGE,
        type_name=f".{PACKAGE}.Header",
        label=_Field.LABEL_REPEATED,
    )


_POOL: Final = DescriptorPool()
_POOL.Add(_describe())

RequestPart: Final[Any] = GetMessageClass(
    _POOL.FindMessageTypeByName(f"{PACKAGE}.RequestPart")
)
AnswerPart: Final[Any] = GetMessageClass(
    _POOL.FindMessageTypeByName(f"{PACKAGE}.AnswerPart")
)


def add_headers(part: Any, headers: Iterable[tuple[str, str]]) -> None:  # noqa: ANN401 - made at run time
    """Put headers into a part."""
    for name, value in headers:
        part.headers.add(name=name, value=value)

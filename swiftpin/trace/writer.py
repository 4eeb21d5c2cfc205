"""Writer of trace files."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, Final

import orjson

from swiftpin.core import callback
from swiftpin.trace.answer_event import AnswerEvent
from swiftpin.trace.trace_event import TraceEvent

FILE_MODE: Final = 0o644


class TraceWriter:
    """Appends events to a file, each by one system call.

    A process that is killed loses no event it wrote: nothing is buffered in it.
    Several processes may append to one file. OSError when it cannot be opened.
    """

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._file: int | None = os.open(path, flags, FILE_MODE)

    @callback
    def write(self, event: TraceEvent) -> None:
        """Append one event; after `close` it is left out."""
        if self._file is not None:
            os.write(self._file, encode_event(event))

    @callback
    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def encode_event(event: TraceEvent) -> bytes:
    """Return the event as a line of JSON."""
    if isinstance(event, AnswerEvent):
        return orjson.dumps(_answer_document(event), option=orjson.OPT_APPEND_NEWLINE)
    return orjson.dumps(event, default=list, option=orjson.OPT_APPEND_NEWLINE)


def _answer_document(event: AnswerEvent) -> dict[str, Any]:
    """Return the fields of an answer under their names in JSON."""
    document = {name: getattr(event, name) for name in AnswerEvent.__slots__}
    document["class"] = document.pop("request_class")
    return document

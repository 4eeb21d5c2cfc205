"""Reader of trace files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Final

from pydantic import Field, TypeAdapter, ValidationError

from swiftpin.exceptions import ConfigurationError
from swiftpin.trace.trace_event import TraceEvent

_EVENT_ADAPTER: Final[TypeAdapter[TraceEvent]] = TypeAdapter(
    Annotated[TraceEvent, Field(discriminator="kind")]
)


def read_trace(path: Path) -> Iterator[TraceEvent]:
    """Yield the events of a trace file in its order.

    A last line without an end is left out: its writer was killed within it.
    Raises OSError when the file cannot be read and ConfigurationError at a line that
    is no event.
    """
    with path.open("rb") as file:
        for number, line in enumerate(file, start=1):
            if not line.endswith(b"\n"):
                return
            if line.isspace():
                continue
            yield _decode_event(line, path, number)


def read_traces(paths: Iterable[Path]) -> list[TraceEvent]:
    """Return the events of several trace files, file after file."""
    return [event for path in paths for event in read_trace(path)]


def _decode_event(line: bytes, path: Path, number: int) -> TraceEvent:
    """Return the event in one line."""
    try:
        return _EVENT_ADAPTER.validate_json(line)
    except ValidationError as err:
        raise ConfigurationError(f"{path}:{number}: {err}") from err

"""Handler for records of the standard library's `logging`."""

from __future__ import annotations

import logging

from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_format import format_text, format_time


class LineHandler(logging.Handler):
    """Writes records of `logging` to the destination, one line each."""

    def __init__(self, destination: KeyValueDestination) -> None:
        super().__init__()
        self._destination = destination

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        level = _level_name(record.levelno)
        if not self._destination.is_enabled(level):
            return
        text = format_text(record.getMessage())
        line = (
            f"time={format_time(record.created)} level={level} event=log"
            f" logger={format_text(record.name)} message={text}"
        )
        if record.exc_info and record.exc_info[1] is not None:
            trace = logging.Formatter().formatException(record.exc_info)
            line = f"{line} traceback={format_text(trace)}"
        self._destination.write_line(line, level)


def _level_name(number: int) -> str:
    """Return the name of the highest level not above the number."""
    if number >= logging.ERROR:
        return "error"
    if number >= logging.WARNING:
        return "warning"
    if number >= logging.INFO:
        return "info"
    return "debug"

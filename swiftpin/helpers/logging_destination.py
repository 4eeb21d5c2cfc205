"""Eliot destination that writes messages as log lines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from swiftpin.core import callback
from swiftpin.helpers.logging_format import format_pairs, format_time, format_value
from swiftpin.helpers.logging_writer import LineWriter

LEVELS_BY_NAME: Final = {"debug": 10, "info": 20, "warning": 30, "error": 40}
LEVEL_FIELD: Final = "level"
ELIOT_FIELDS: Final = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "action_type", "level"}
)
TRACEBACK_TYPE: Final = "eliot:traceback"
STATUS_FIELD: Final = "action_status"
STATUS_FAILED: Final = "failed"


class KeyValueDestination:
    """Writes each message as one line of `key=value` pairs.

    The level is the message's field `level`, else `error` for failures and `info` for
    all others. `write_line` accepts a formatted line: an eliot message costs more CPU
    time than routing a request, so the line for each request bypasses eliot.
    """

    def __init__(self, writer: LineWriter, level: str) -> None:
        self._writer = writer
        self._min_level = LEVELS_BY_NAME[level]

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write an eliot message."""
        level = _level(message)
        if not self.is_enabled(level):
            return
        at = message.get("timestamp", 0.0)
        head = f"time={format_time(at if isinstance(at, float) else 0.0)}"
        event = format_value(message.get("message_type") or message.get("action_type"))
        fields = {
            name: value for name, value in message.items() if name not in ELIOT_FIELDS
        }
        self.write_line(
            f"{head} level={level} event={event} {format_pairs(fields)}".rstrip(), level
        )

    @callback
    def is_enabled(self, level: str) -> bool:
        """Return whether lines of this level are written."""
        return LEVELS_BY_NAME.get(level, LEVELS_BY_NAME["info"]) >= self._min_level

    @callback
    def write_line(self, line: str, level: str = "info") -> None:
        """Write a formatted line."""
        is_failure = LEVELS_BY_NAME[level] >= LEVELS_BY_NAME["warning"]
        self._writer.write(line, is_failure=is_failure)


def _level(message: Mapping[str, object]) -> str:
    """Return the level of a message."""
    level = message.get(LEVEL_FIELD)
    if isinstance(level, str) and level in LEVELS_BY_NAME:
        return level
    failed = message.get(STATUS_FIELD) == STATUS_FAILED
    if failed or message.get("message_type") == TRACEBACK_TYPE:
        return "error"
    return "info"

"""Format of log lines: `key=value` pairs, one line per event."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
import json
import re
import time
from typing import Final

ABSENT: Final = "-"
MAX_TEXT_LENGTH: Final = 4096
"""Maximum characters of a value. A path may have 16 KB; a traceback is repetitive, so
truncation loses little."""

_PLAIN: Final = re.compile(r"[A-Za-z0-9_.,:;/@%+*()\[\]-]+")
_MILLISECONDS_PER_SECOND: Final = 1000


def format_value(value: object) -> str:
    """Return a value formatted for a log line.

    External text may contain line breaks, quotes or equals signs that would forge
    another line or pair, so text with special characters is written as a JSON string in
    ASCII. None is written as a hyphen.
    """
    match value:
        case None:
            return ABSENT
        case bool():
            return "true" if value else "false"
        case int():
            return str(value)
        case float():
            return f"{value:.3f}"
        case _:
            return format_text(str(value))


def format_text(text: str) -> str:
    """Return text formatted for a log line, truncated to the maximum length.

    A caller that sends long paths could otherwise use up the log volume.
    """
    if len(text) > MAX_TEXT_LENGTH:
        text = f"{text[:MAX_TEXT_LENGTH]}...({len(text) - MAX_TEXT_LENGTH} more)"
    if text != ABSENT and _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


format_text_cached: Final = lru_cache(maxsize=4096)(format_text)
"""Cached `format_text` for recurring values such as target names."""


def format_pairs(values_by_key: Mapping[str, object]) -> str:
    """Return the formatted pairs in the mapping's order."""
    return " ".join(
        f"{_format_key(key)}={format_value(value)}"
        for key, value in values_by_key.items()
    )


def format_time(at: float) -> str:
    """Format a Unix time as UTC with milliseconds."""
    milliseconds = int(at * _MILLISECONDS_PER_SECOND)
    seconds, rest = divmod(milliseconds, _MILLISECONDS_PER_SECOND)
    return f"{_format_second(seconds)}.{rest:03d}Z"


@lru_cache(maxsize=2)
def _format_second(seconds: int) -> str:
    """Format a Unix time in seconds; cached because many lines share a second."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))


@lru_cache(maxsize=4096)
def _format_key(key: str) -> str:
    """Replace the characters of a key that would break the pair."""
    return re.sub(r"[^A-Za-z0-9_.]", "_", key)

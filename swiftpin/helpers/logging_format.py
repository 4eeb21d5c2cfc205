"""Form of log lines: `key=value` pairs, one line an event."""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache
import json
import re
import time
from typing import Final

ABSENT: Final = "-"
MAX_TEXT_LENGTH: Final = 4096
"""Characters of one value; a path may have 16 KB, and a traceback repeats itself."""

_PLAIN: Final = re.compile(r"[A-Za-z0-9_.,:;/@%+*()\[\]-]+")
_MILLISECONDS: Final = 1000


def format_value(value: object) -> str:
    """Return a value as it stands in a line.

    Text from outside could hold a line break, a quote or an equals sign and so forge
    another line or pair; whatever is not plain is written as a quoted JSON string
    in ASCII. An absent value is a hyphen.
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
    """Return text as it stands in a line; the end of a long one is left out.

    A caller that sends long paths could otherwise fill the room of all lines.
    """
    if len(text) > MAX_TEXT_LENGTH:
        text = f"{text[:MAX_TEXT_LENGTH]}...({len(text) - MAX_TEXT_LENGTH} more)"
    if text != ABSENT and _PLAIN.fullmatch(text):
        return text
    return json.dumps(text)


format_text_cached: Final = lru_cache(maxsize=4096)(format_text)
"""`format_text` for values that come again, such as names of targets."""


def format_pairs(values_by_key: Mapping[str, object]) -> str:
    """Return the pairs in the mapping's order."""
    return " ".join(
        f"{_format_key(key)}={format_value(value)}"
        for key, value in values_by_key.items()
    )


def format_time(at: float) -> str:
    """Return Unix seconds as UTC with milliseconds."""
    milliseconds = int(at * _MILLISECONDS)
    seconds, rest = divmod(milliseconds, _MILLISECONDS)
    return f"{_format_second(seconds)}.{rest:03d}Z"


@lru_cache(maxsize=2)
def _format_second(seconds: int) -> str:
    """Return a whole second; many lines share one."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))


@lru_cache(maxsize=4096)
def _format_key(key: str) -> str:
    """Return a key without what would end it."""
    return re.sub(r"[^A-Za-z0-9_.]", "_", key)

"""Parsing of JSON of which other writers may have written parts."""

from __future__ import annotations

import json
import re
from typing import Any, Final

MAX_DIGITS: Final = 20
"""Maximum length of an integer of 64 bits, with its sign."""

MAX_DEPTH: Final = 64
"""Maximum nesting of arrays and objects, far more than any document needs."""

STRUCTURE: Final = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
"""Brackets, and strings, which may contain brackets."""


def load_tolerantly(body: bytes) -> Any:  # noqa: ANN401  # any JSON value
    """Parse a JSON value; raise `ValueError` if the bytes are not JSON.

    Bytes that are not UTF-8 are replaced, values that are nested too deeply are null,
    and integers that are too long are floats. So only the part that contains them is
    lost. It is slower than other parsers.
    """
    text = _without_deep_values(body.decode("utf-8", "replace"))
    return json.loads(text, parse_int=_parse_integer)


def _without_deep_values(text: str) -> str:
    """Return JSON in which arrays and objects beyond the maximum depth are null."""
    kept: list[str] = []
    kept_until = depth = 0
    for token in STRUCTURE.finditer(text):
        match token.group()[0]:
            case "[" | "{":
                if depth == MAX_DEPTH:
                    kept.append(text[kept_until : token.start()])
                depth += 1
            case "]" | "}":
                depth -= 1
                if depth == MAX_DEPTH:
                    kept.append("null")
                    kept_until = token.end()
    if depth > MAX_DEPTH:
        raise ValueError("an array or object does not end")
    return "".join((*kept, text[kept_until:]))


def _parse_integer(text: str) -> float:
    """Return an integer, as a float if it is too long for one of 64 bits."""
    return int(text) if len(text) <= MAX_DIGITS else float(text)

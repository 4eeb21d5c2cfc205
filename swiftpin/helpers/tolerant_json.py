"""Parsing of JSON of which other writers may have written parts."""

from __future__ import annotations

import json
import re
from typing import Any, Final

MAX_DIGITS: Final = 20
"""Maximum length of an integer of 64 bits, with its sign."""

MAX_DEPTH: Final = 64
"""Maximum nesting of arrays and objects, far more than any document needs."""

STRUCTURE: Final = re.compile(r'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
"""Brackets, and strings, which may contain brackets. A string without an end takes the
rest of the text; otherwise each quote in it would be tried as the start of another."""

ESCAPE_OR_INVALID: Final = re.compile(
    r'\\(?:["\\/bfnrt]|u[0-9A-Fa-f]{4})|[\x00-\x1f\\]'
)
"""Valid escapes, and characters that are invalid in a string unless escaped."""

INVALID_CHARACTER: Final = "\udcff"
"""A lone surrogate, which no valid text contains."""


def load_tolerantly(body: bytes) -> Any:  # noqa: ANN401  # any JSON value
    """Parse a JSON value; raise `ValueError` if the bytes are not JSON.

    Strings with bytes that are not UTF-8, with control characters that are not escaped
    or with unknown escapes get a lone surrogate, which no valid text contains; values
    that are nested too deeply are null, and integers that are too long are floats. So
    only the part that contains them is lost. It is slower than other parsers.
    """
    text = _without_invalid_values(body.decode("utf-8", "surrogateescape"))
    return json.loads(text, parse_int=_parse_integer)


def _without_invalid_values(text: str) -> str:
    """Return JSON with marked strings, and null beyond the maximum depth."""
    kept: list[str] = []
    kept_until = depth = 0
    for token in STRUCTURE.finditer(text):
        match token.group()[0]:
            case '"' if depth <= MAX_DEPTH:
                marked = ESCAPE_OR_INVALID.sub(_mark_invalid, token.group())
                if marked != token.group():
                    kept += (text[kept_until : token.start()], marked)
                    kept_until = token.end()
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


def _mark_invalid(found: re.Match[str]) -> str:
    """Return a valid escape as it is, and a marker in place of anything else."""
    return found.group() if len(found.group()) > 1 else INVALID_CHARACTER


def _parse_integer(text: str) -> float:
    """Return an integer, as a float if it is too long for one of 64 bits."""
    return int(text) if len(text) <= MAX_DIGITS else float(text)

"""Reading of JSON arrays whose elements other writers may have made invalid.

Content that is inserted into an answer without being checked may end strings, arrays
and objects at the wrong places. The elements are therefore found by how they begin, and
each is parsed by itself.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
import json
import re
from typing import Any, Final

import orjson

from swiftpin.helpers.tolerant_json import load_tolerantly

SEPARATORS: Final = ", \t\r\n"
DECODER: Final = json.JSONDecoder()


def load_array(
    body: bytes, name: str, keys: tuple[str, ...], load: Callable[[str], Any]
) -> Any:  # noqa: ANN401  # any JSON value
    """Parse an object with an array in the field `name`.

    Each element is an object that begins with one of `keys`. If the whole is not valid,
    the elements are parsed by `load`, which gets their text. Raises `ValueError` if the
    text around the array is not JSON, or if its elements can't be found.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        pass
    text = decode_damaged(body)
    opening = re.search(rf'"{name}"\s*:\s*\[', text)
    closing = text.rfind("]")
    if opening is None or closing < opening.end():
        raise ValueError(f"no array {name}")
    try:
        fields = json.loads(text[: opening.end()] + text[closing:])
    except RecursionError as err:
        raise ValueError(f"nested too deeply around {name}") from err
    start = re.compile(rf'(?<=[\[,])\s*\{{\s*"(?:{"|".join(keys)})"\s*:')
    starts = [it.start() for it in start.finditer(text, opening.end() - 1, closing)]
    ends = [*starts, closing]
    if text[opening.end() : ends[0]].strip():
        raise ValueError(f"the first element of {name} begins with another key")
    elements = [
        load(text[first:end].strip(SEPARATORS)) for first, end in pairwise(ends)
    ]
    return fields | {name: elements}


def decode_damaged(body: bytes) -> str:
    """Return bytes as text; those that are not UTF-8 become lone surrogates."""
    return body.decode("utf-8", "surrogateescape")


def load_element(text: str) -> Any:  # noqa: ANN401  # any JSON value
    """Parse an element; raise `ValueError` if it is not JSON."""
    body = text.encode("utf-8", "surrogateescape")
    try:
        return orjson.loads(body)
    except ValueError:
        return load_tolerantly(body)


def find_object(text: str, name: str) -> Any:  # noqa: ANN401  # any JSON value
    """Return the first object in a field of that name, None if none can be parsed."""
    found = re.search(rf'"{name}"\s*:\s*(?=\{{)', text)
    if found is None:
        return None
    try:
        return DECODER.raw_decode(text, found.end())[0]
    except (ValueError, RecursionError):
        return None


def find_flag(text: str, name: str) -> bool | None:
    """Return the boolean in the first or last field of an object, None if missing."""
    flag = rf'"{name}"\s*:\s*(true|false)'
    found = re.match(rf"\{{\s*{flag}\b", text) or re.search(rf"{flag}\s*\}}\Z", text)
    return None if found is None else found.group(1) == "true"

"""Reading of JSON that others wrote, by plain checks with typed errors.

Validation libraries would do the same, but take some megabytes of each instance's
memory.
"""

from __future__ import annotations

import json
import math
from typing import Any, Final

import orjson

MAX_INTEGER: Final = 2**63 - 1
"""Largest whole number that every reader of the store's JSON takes."""


class FieldError(ValueError):
    """A field is missing or of another type than it should be."""


class FieldRangeError(FieldError):
    """A field has the right type and a value that it can't have."""


def load_json(body: bytes) -> Any:  # noqa: ANN401  # any JSON value
    """Return the value in some bytes; raise `FieldError` when there is none.

    A store's page with one entry whose text is not proper Unicode is refused whole by
    the fast parser; that would hide all other entries behind one bad one. The slow one
    reads such a page, and the entry fails by itself.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        pass
    try:
        return json.loads(body.decode("utf-8", "replace"))
    except (ValueError, RecursionError) as err:
        raise FieldError(f"not JSON: {err}") from err


def read_mapping(value: object, label: str) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise FieldError(f"{label} is not an object")
    return value


def read_field(mapping: dict[str, Any], name: str) -> Any:  # noqa: ANN401
    """Return a field that must be there."""
    if name not in mapping:
        raise FieldError(f"{name} is missing")
    return mapping[name]


def read_list(value: object, label: str) -> list[Any]:
    """Return a JSON array."""
    if not isinstance(value, list):
        raise FieldError(f"{label} is not an array")
    return value


def read_string(value: object, label: str, *, may_be_empty: bool = False) -> str:
    """Return a text that can be written again."""
    if not isinstance(value, str):
        raise FieldError(f"{label} is not a text")
    if not value and not may_be_empty:
        raise FieldRangeError(f"{label} is empty")
    try:
        value.encode()
    except UnicodeEncodeError as err:
        raise FieldRangeError(f"{label} is not proper Unicode") from err
    return value


def read_boolean(value: object, label: str) -> bool:
    """Return true or false."""
    if not isinstance(value, bool):
        raise FieldError(f"{label} is not true or false")
    return value


def read_integer(
    value: object, label: str, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return a whole number within bounds; true and false are none."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise FieldError(f"{label} is not a whole number")
    if not minimum <= value <= maximum:
        raise FieldRangeError(f"{label} is out of range")
    return value


def read_number(value: object, label: str, *, maximum: float = float(2**53)) -> float:
    """Return a number from 0 to `maximum`."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise FieldError(f"{label} is not a number")
    if not 0 <= value <= maximum or not math.isfinite(value):
        raise FieldRangeError(f"{label} is out of range")
    return float(value)

"""Type and range checks for JSON from other writers, with typed errors.

Validation libraries would cost every instance several megabytes of memory.
"""

from __future__ import annotations

import math
from typing import Any, Final

import orjson

from swiftpin.helpers.tolerant_json import load_tolerantly

MAX_INTEGER: Final = 2**63 - 1
"""Largest integer that all readers of the store's JSON support."""


class FieldError(ValueError):
    """A field is missing or has the wrong type."""


class FieldRangeError(FieldError):
    """A field has the right type but an invalid value."""


def load_json(body: bytes) -> Any:  # noqa: ANN401  # any JSON value
    """Parse a JSON value; raise `FieldError` if the bytes are not JSON.

    orjson rejects a whole page of the store if a single entry contains an invalid
    string, which `read_string` rejects, or is nested too deeply.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        pass
    try:
        return load_tolerantly(body)
    except ValueError as err:
        raise FieldError(f"not JSON: {err}") from err


def read_mapping(value: object, label: str) -> dict[str, Any]:
    """Return a value that must be a JSON object."""
    if not isinstance(value, dict):
        raise FieldError(f"{label} is not an object")
    return value


def read_field(mapping: dict[str, Any], name: str) -> Any:  # noqa: ANN401
    """Return a required field."""
    if name not in mapping:
        raise FieldError(f"{name} is missing")
    return mapping[name]


def read_list(value: object, label: str) -> list[Any]:
    """Return a value that must be a JSON array."""
    if not isinstance(value, list):
        raise FieldError(f"{label} is not an array")
    return value


def read_string(value: object, label: str, *, may_be_empty: bool = False) -> str:
    """Return a string that can be encoded as UTF-8."""
    if not isinstance(value, str):
        raise FieldError(f"{label} is not a string")
    if not value and not may_be_empty:
        raise FieldRangeError(f"{label} is empty")
    try:
        value.encode()
    except UnicodeEncodeError as err:
        raise FieldRangeError(f"{label} is not valid Unicode") from err
    return value


def read_boolean(value: object, label: str) -> bool:
    """Return a value that must be true or false."""
    if not isinstance(value, bool):
        raise FieldError(f"{label} is not a boolean")
    return value


def read_integer(
    value: object, label: str, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return an integer within bounds; booleans are rejected."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise FieldError(f"{label} is not an integer")
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

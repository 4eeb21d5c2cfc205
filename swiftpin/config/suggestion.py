"""Hints at the name that was probably meant."""

from __future__ import annotations

from collections.abc import Iterable
from difflib import get_close_matches
from typing import Final

SIMILARITY: Final = 0.6


def nearest_name(given: str, valid: Iterable[str]) -> str | None:
    """Return the valid name most like the given one, None when none is alike."""
    matches = get_close_matches(given, list(valid), n=1, cutoff=SIMILARITY)
    return matches[0] if matches else None


def did_you_mean(given: str, valid: Iterable[str]) -> str:
    """Return a hint to put after an error message, empty when no name is alike."""
    name = nearest_name(given, valid)
    return f"; did you mean {name}?" if name else ""

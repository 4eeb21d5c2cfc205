"""Condition of a conditional write."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

ABSENT: Final = 0
"""Version to expect of an object that must not exist."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteCondition:
    """Version the object must have; `ABSENT` if none may exist, None for any."""

    version: int | None

    def holds(self, present: int) -> bool:
        """Return whether an object at version `present` may be written."""
        return self.version is None or self.version == present


def parse_condition(headers: Mapping[str, str]) -> WriteCondition:
    """Return the condition in the headers; ValueError if it is malformed."""
    if headers.get("If-None-Match") == "*":
        return WriteCondition(version=ABSENT)
    match = headers.get("If-Match")
    if match is None:
        return WriteCondition(version=None)
    return WriteCondition(version=int(match.strip('"')))

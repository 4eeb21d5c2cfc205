"""Errors for store entries from which no target can be decoded."""

from __future__ import annotations

from enum import Enum

from swiftpin.exceptions import ConfigurationError


class UnusableReason(Enum):
    """Reason why an entry can't be used; each reason has its own counter."""

    METADATA = "metadata"
    """Its name or revision is malformed."""

    FIELD = "field"
    """A field is missing or has the wrong type."""

    RANGE = "range"
    """A field has an invalid value."""

    STATE = "state"
    """Its state is unknown."""

    SERVICE = "service"
    """Its service differs from an earlier entry of the same life."""

    START = "start"
    """It lacks the start time that earlier entries of the life contained."""


class UnusableEntryError(ConfigurationError):
    """An entry can't be used, possibly because another writer created it."""

    def __init__(self, name: str, reason: UnusableReason, detail: str) -> None:
        super().__init__(f"entry {name!r}: {detail}")
        self.reason = reason

"""Entries of the store that name no target to use."""

from __future__ import annotations

from enum import Enum

from swiftpin.exceptions import ConfigurationError


class UnusableReason(Enum):
    """Why an entry can't be used; few, since each is a counter."""

    METADATA = "metadata"
    """Its name or revision can't be read."""

    FIELD = "field"
    """A field is missing or of another type."""

    RANGE = "range"
    """A value is one that the field can't have."""

    STATE = "state"
    """Its state is none that is known."""

    SERVICE = "service"
    """It names another service than the same life did before."""

    START = "start"
    """It does not tell the start of a life whose start was told before."""


class UnusableEntryError(ConfigurationError):
    """An entry can't be used; it may come from another writer."""

    def __init__(self, name: str, reason: UnusableReason, detail: str) -> None:
        super().__init__(f"entry {name!r}: {detail}")
        self.reason = reason

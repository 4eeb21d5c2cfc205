"""How a writer learned that its change took effect."""

from __future__ import annotations

from enum import StrEnum


class WriteOutcome(StrEnum):
    """The store said so, or its answer was lost and the change was read back."""

    ANSWERED = "answered"
    READ_BACK = "read back"

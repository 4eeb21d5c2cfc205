"""What a planned change does."""

from __future__ import annotations

from enum import StrEnum


class ChangeKind(StrEnum):
    """Effect of a change on one declaration."""

    CREATE = "create"
    UPDATE = "update"
    RETIRE = "retire"
    UNCHANGED = "unchanged"

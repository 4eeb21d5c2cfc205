"""Whether a target can serve, as its holder sees it."""

from __future__ import annotations

from enum import StrEnum


class TargetState(StrEnum):
    """State of a link to a target.

    NEW: not fenced yet. LIVE: renewals are answered. SUSPECT: the last renewal was
    not answered. LOST: every grant on it has lapsed. UNNAMED: a start of it answers
    that the lease does not name.
    """

    NEW = "new"
    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"
    UNNAMED = "unnamed"

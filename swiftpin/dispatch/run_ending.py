"""How a request in flight ended, as far as its target's life is concerned."""

from __future__ import annotations

from enum import StrEnum


class RunEnding(StrEnum):
    """The target answered, or did not run the request, or broke off in between."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    BROKEN = "broken"

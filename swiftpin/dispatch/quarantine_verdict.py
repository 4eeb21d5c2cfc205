"""How a request may run that perhaps crashes targets."""

from __future__ import annotations

from enum import StrEnum


class QuarantineVerdict(StrEnum):
    """Nothing is known against the request, or it must run alone, or not at all."""

    CLEAR = "clear"
    ISOLATE = "isolate"
    REFUSE = "refuse"

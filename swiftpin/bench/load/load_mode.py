"""How requests are timed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenLoop:
    """Random (Poisson) arrivals at `rate` a second, whatever the answers do."""

    rate: float
    mode: Literal["open"] = "open"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosedLoop:
    """`callers` callers, each sending its next request once it has an answer."""

    callers: int
    mode: Literal["closed"] = "closed"


LoadMode = OpenLoop | ClosedLoop

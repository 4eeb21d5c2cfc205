"""When a refused caller should send its request again."""

from __future__ import annotations

from random import Random

from swiftpin.core import callback
from swiftpin.dispatch.const import MAX_RETRY_AFTER, MIN_RETRY_AFTER

SPREAD = 2.0


@callback
def retry_after(backlog: float, rng: Random) -> float:
    """Return a time in seconds, spread by the length of the backlog.

    `backlog` is how long the waiting work keeps the target busy, in seconds.
    Refused callers that all came back at one moment would fill the queue at once
    and be refused again; the longer the queue, the wider they are spread.
    """
    base = min(max(backlog, MIN_RETRY_AFTER), MAX_RETRY_AFTER / (1 + SPREAD))
    return base * (1 + SPREAD * rng.random())

"""Tries of one request so far."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class RequestTries:
    """Counts of tries and of answers "outcome unknown".

    `waits` is set once a try went to an entry that works, from when on the request
    counts as waiting for its key. `ticket` is the last one that an answer named; it
    goes with every later try.
    """

    count: int = 0
    unknown: int = 0
    waits: bool = False
    ticket: str | None = None

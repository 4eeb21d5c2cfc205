"""State of a journal for metrics and logs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalStatus:
    """One look at a journal.

    `loaded` tells whether its records are known, `available` whether the store
    took the last write, `deposed` whether another holder owns it. `records` and
    `memory` (bytes) are in use; `writes` and `bytes_written` count since the start.
    """

    term: int
    loaded: bool
    available: bool
    deposed: bool
    records: int
    memory: int
    writes: int
    bytes_written: int

"""A record write whose answer was lost."""

from __future__ import annotations

from typing import NamedTuple

from spec.fenced.record import Record


class PendingWrite(NamedTuple):
    """It replaces exactly the revision `base`, at any later time or never."""

    base: int
    record: Record

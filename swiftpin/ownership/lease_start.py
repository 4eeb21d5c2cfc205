"""How a lease begins."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.predecessor import Predecessor


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseStart:
    """A record under which this instance begins to hold a group.

    `version` is the store's version of it, None after a takeover without the store,
    where `base_writer` names the write that the takeover built on. `predecessor` is
    None for a new group. `store_read_at` is our monotonic time (seconds) before the
    store call that showed the record.
    """

    record: GroupRecord
    version: int | None
    base_writer: str = ""
    fenced_group: bool
    checks_grants: bool
    predecessor: Predecessor | None
    store_read_at: float

"""The lease under which a holder acts."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """Group, term and holder, as targets see them."""

    group: GroupId
    term: int
    holder: str

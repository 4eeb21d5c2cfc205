"""Renewal, extension and revocation of grants in one message."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.ownership.group_id import GroupId


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantUpdate:
    """Orders of a holder to a target.

    `expires_at` is on the target's clock (seconds) and applies to every slice the
    group has there. `grant_terms_by_id` maps slices to slice terms;
    `revoke_wait` is how long the target may let running requests end (seconds).
    """

    group: GroupId
    term: int
    holder: str
    boot_id: str
    expires_at: float
    grant_terms_by_id: dict[int, int] = field(default_factory=dict)
    revoke: frozenset[int] = frozenset()
    revoke_wait: float = 0.0

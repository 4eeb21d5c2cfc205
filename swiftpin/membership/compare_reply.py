"""Answer to a comparison of digests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class CompareReply:
    """Digests of the receiver's buckets, None when both know the same.

    `store_age` is the time in seconds since the receiver last knew of any instance
    that heard from the store; None when it knows of none. `loaded` tells whether
    the receiver knows everything that the store or a loaded peer knew.
    """

    buckets: tuple[int, ...] | None
    store_age: float | None
    loaded: bool

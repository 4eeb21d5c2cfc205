"""A lease of a cooperative group, as its record states it."""

from __future__ import annotations

from typing import NamedTuple


class Lease(NamedTuple):
    """Holder and successor are indices of instances.

    `outage_wait` tells that a holder before may still be confirmed without the store,
    until the wait of a third instance is over.
    """

    holder: int
    successor: int
    outage_wait: bool

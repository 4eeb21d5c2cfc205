"""Calls that grant keys to targets and release them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyGrant:
    """Keys `first` to `last` (inclusive) with a fence."""

    first: int
    last: int
    fence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantCall:
    """Grant of the keys `first` to `last` (inclusive) for `hold` seconds."""

    first: int
    last: int
    hold: float
    handover: str | None
    fence_for_connection: Callable[[int], int]
    """Returns the fence; called with the number of the connection that the call uses,
    once it is open."""

    preferred_connection: int | None = None

"""How a lease begins."""

from __future__ import annotations

from enum import IntEnum


class LeaseKind(IntEnum):
    """The first lease is in force at the start of each model."""

    FIRST = 0
    RESERVED = 1
    """The successor's, taken without the store under the odd term."""

    STORED = 2
    """Another instance's, by a conditional write."""

    RENEWED = 3
    """The next one of the holder of the lease before, by a conditional write."""

"""A grant that is still on its way, or lies at a frozen target."""

from __future__ import annotations

from typing import NamedTuple


class LateGrant(NamedTuple):
    """Its limit is absolute: `left` runs down while it travels."""

    lease: int
    left: int
    slice_term: int

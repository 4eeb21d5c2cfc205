"""A change that a watch reported."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchEvent:
    """A changed object; `deleted` tells a removal from a write."""

    name: str
    version: int
    deleted: bool

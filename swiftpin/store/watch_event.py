"""A change that a watch reported."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchEvent:
    """A change of an object; `deleted` distinguishes deletions from writes."""

    name: str
    version: int
    deleted: bool

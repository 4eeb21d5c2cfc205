"""Where the key of a request stands when the key header is absent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class HeaderKeyRule:
    """Only the header `Swiftpin-Key` carries the key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PathKeyRule:
    """The key is the path segment at `segment`, counted from 0 after the service."""

    segment: int


@dataclass(frozen=True, kw_only=True, slots=True)
class QueryKeyRule:
    """The key is the query parameter `parameter`."""

    parameter: str


KeyRule = HeaderKeyRule | PathKeyRule | QueryKeyRule

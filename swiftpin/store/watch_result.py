"""Result of a watch call."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.store.watch_event import WatchEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchResult:
    """Changes up to a store revision, oldest first; empty when the wait ended."""

    revision: int
    events: list[WatchEvent] = field(default_factory=list)

"""Result of a watch call."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.store.watch_event import WatchEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchResult:
    """Changes up to a store revision, oldest first; empty if the wait timed out."""

    revision: int
    events: list[WatchEvent] = field(default_factory=list)

"""Changes of a quarantine that the store does not hold yet."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.quarantine_entry import QuarantineEntry
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.target_death import TargetDeath

MAX_ENTRIES: Final = 500


class QuarantineChanges:
    """Deaths that were added and deaths that were cleared, by fingerprint.

    Applying them twice changes nothing, so a write whose answer was lost is simply
    made again on top of whatever the store holds by then.
    """

    def __init__(self) -> None:
        self.added_by_fingerprint: dict[str, QuarantineEntry] = {}
        self.cleared_by_fingerprint: dict[str, frozenset[TargetDeath]] = {}

    def __bool__(self) -> bool:
        return bool(self.added_by_fingerprint or self.cleared_by_fingerprint)

    @callback
    def add(self, entry: QuarantineEntry) -> None:
        """Add the deaths of an entry."""
        known = self.added_by_fingerprint.get(entry.fingerprint)
        self.added_by_fingerprint[entry.fingerprint] = _joined(known, entry)

    @callback
    def clear(self, entry: QuarantineEntry) -> None:
        """Take the deaths of an entry back; later deaths count again."""
        known = self.cleared_by_fingerprint.get(entry.fingerprint, frozenset())
        self.cleared_by_fingerprint[entry.fingerprint] = known | entry.deaths

    @callback
    def followed_by(self, later: QuarantineChanges) -> QuarantineChanges:
        """Return both sets of changes as one."""
        both = QuarantineChanges()
        for changes in (self, later):
            for entry in changes.added_by_fingerprint.values():
                both.add(entry)
            for fingerprint, deaths in changes.cleared_by_fingerprint.items():
                known = both.cleared_by_fingerprint.get(fingerprint, frozenset())
                both.cleared_by_fingerprint[fingerprint] = known | deaths
        return both

    @callback
    def apply(
        self, entries_by_fingerprint: dict[str, QuarantineEntry], oldest: int
    ) -> dict[str, QuarantineEntry]:
        """Return the entries after the changes, without those before `oldest` (ms)."""
        result = dict(entries_by_fingerprint)
        for fingerprint, entry in self.added_by_fingerprint.items():
            result[fingerprint] = _joined(result.get(fingerprint), entry)
        for fingerprint, cleared in self.cleared_by_fingerprint.items():
            entry_left = result.get(fingerprint)
            if entry_left is not None:
                left = entry_left.deaths - cleared
                result[fingerprint] = replace(entry_left, deaths=left)
        kept = [
            entry
            for entry in result.values()
            if entry.deaths and entry.changed_at >= oldest
        ]
        kept.sort(key=_importance, reverse=True)
        return {entry.fingerprint: entry for entry in kept[:MAX_ENTRIES]}


def _joined(known: QuarantineEntry | None, entry: QuarantineEntry) -> QuarantineEntry:
    """Return the entry with the deaths of both."""
    if known is None:
        return entry
    return replace(
        entry,
        deaths=known.deaths | entry.deaths,
        changed_at=max(known.changed_at, entry.changed_at),
    )


def _importance(entry: QuarantineEntry) -> tuple[bool, int]:
    """Return a sort key: condemned requests are kept before suspected ones."""
    return (entry.verdict is QuarantineVerdict.REFUSE, entry.changed_at)

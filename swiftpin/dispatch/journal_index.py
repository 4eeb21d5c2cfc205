"""The requests that a journal knows, bounded in number and memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from swiftpin.core import callback
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.journal_entry import JournalEntry
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.unknown import Unknown


class JournalIndex:
    """Entries by key; those that ended are forgotten after the retention."""

    def __init__(self, settings: JournalSettings) -> None:
        self._settings = settings
        self._entries_by_key: dict[str, JournalEntry] = {}
        self._ended: deque[JournalEntry] = deque()
        self._ended_bytes = 0
        self._running = 0

    def __len__(self) -> int:
        return len(self._entries_by_key)

    def __iter__(self) -> Iterator[JournalEntry]:
        return iter(list(self._entries_by_key.values()))

    @property
    def size(self) -> int:
        """Return the bytes in use, with room for the answers of running requests."""
        reserve = self._settings.answer_limit + self._settings.key_limit
        return self._ended_bytes + self._running * reserve

    @callback
    def get(self, key: str) -> JournalEntry | None:
        """Return the entry of a key, None when unknown."""
        return self._entries_by_key.get(key)

    @callback
    def has_room(self) -> bool:
        """Return whether one more request may run, and its answer be kept."""
        reserve = self._settings.answer_limit + self._settings.key_limit
        return (
            len(self._entries_by_key) < self._settings.max_records
            and self._running < self._settings.max_running
            and self.size + reserve <= self._settings.max_bytes
        )

    @callback
    def add(self, entry: JournalEntry) -> None:
        """Add an entry that runs, or one that ended and was loaded."""
        self._entries_by_key[entry.key] = entry
        if entry.outcome is None:
            self._running += 1
        else:
            self._add_ended(entry)

    @callback
    def end(self, entry: JournalEntry, outcome: Answered | Unknown, now: float) -> None:
        """Give a running entry its outcome."""
        entry.outcome = outcome
        entry.changed_at = now
        self._running -= 1
        self._add_ended(entry)

    @callback
    def remove_running(self, entry: JournalEntry) -> None:
        """Forget a running entry, since its request was certainly not run."""
        del self._entries_by_key[entry.key]
        self._running -= 1

    @callback
    def prune(self, now: float) -> list[str]:
        """Forget the entries past the retention and return their keys."""
        keys = []
        while self._ended and (
            self._ended[0].changed_at + self._settings.retention < now
        ):
            entry = self._ended.popleft()
            self._ended_bytes -= entry.size
            del self._entries_by_key[entry.key]
            keys.append(entry.key)
        return keys

    def _add_ended(self, entry: JournalEntry) -> None:
        """Count an ended entry; the deque is ordered by the last change."""
        self._ended.append(entry)
        self._ended_bytes += entry.size

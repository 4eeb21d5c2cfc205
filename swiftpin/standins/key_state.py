"""State that a target holds for one key."""

from __future__ import annotations

from collections import deque
from typing import Any, Final

from swiftpin.core import callback
from swiftpin.standins.key_entry import KeyEntry

SHOWN_ENTRIES: Final = 20


class KeyState:
    """Count of all executions of a key and the last of them."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._entries: deque[KeyEntry] = deque(maxlen=SHOWN_ENTRIES)
        self.count = 0

    @callback
    def append(self, entry: KeyEntry) -> None:
        """Add an execution."""
        self.count += 1
        self._entries.append(entry)

    def as_document(self) -> dict[str, Any]:
        """Return the state as a JSON document."""
        return {"key": self._key, "count": self.count, "entries": list(self._entries)}

"""Which updates of the targets' entries are newer than what is known."""

from __future__ import annotations

from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.freshness import UpdateSource
from swiftpin.helpers.line_rate_limiter import LineRateLimiter

REFUSED_LINES: Final = 5
"""Lines a second about refused updates: a watch that is behind brings many."""


class EntryRevisions:
    """The store revision at which each name's entry, or its absence, was learnt.

    Lists, watches and neighbours overtake each other. Taken as they come, an older one
    would bring a removed target back, and requests would go to it long after it left.
    """

    def __init__(self) -> None:
        self.version = 0
        """Revision up to which all entries are known, whoever told them."""

        self._revisions_by_name: dict[str, int] = {}
        self._lines = LineRateLimiter(REFUSED_LINES)

    @callback
    def of(self, name: str) -> int:
        """Return the revision at which the last update of a name was learnt, else 0."""
        return self._revisions_by_name.get(name, 0)

    @callback
    def note(self, name: str, revision: int) -> None:
        """Note what was learnt of a name at a revision."""
        self._revisions_by_name[name] = max(self.of(name), revision)

    @callback
    def advance(self, revision: int) -> None:
        """Note that all entries are known up to a revision."""
        self.version = max(self.version, revision)

    @callback
    def forget(self, name: str) -> None:
        """Drop a name; updates of it count as old up to `version` from now on."""
        self._revisions_by_name.pop(name, None)

    @callback
    def is_new(self, name: str, revision: int, complete: int) -> bool:
        """Return whether an entry of a revision is new.

        `complete` is the revision up to which all entries were known when it came: a
        name that is not known by then had no entry.
        """
        return revision > self._revisions_by_name.get(name, complete)

    @callback
    def log_refused(
        self, source: UpdateSource, name: str, revision: int, known: int, now: float
    ) -> None:
        """Write a line for an update that is older than what is known."""
        if not self._lines.allow(now):
            return
        log_message(
            message_type="stale_update_refused",
            source=source.value,
            target=name,
            revision=revision,
            known=known,
            left_out=self._lines.take_suppressed_count(),
        )

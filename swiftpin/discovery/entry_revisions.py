"""Revisions of the targets' entries, to detect outdated updates."""

from __future__ import annotations

from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.freshness import UpdateSource
from swiftpin.helpers.line_rate_limiter import LineRateLimiter

MAX_STALE_LINES_PER_SECOND: Final = 5
"""Limit on log lines about stale updates: a watch that lags behind delivers many."""


class EntryRevisions:
    """Store revision of the last known update of each name, including removals.

    Updates from lists, watches and neighbours may arrive out of order. If an older
    update were applied, a removed target would reappear and would get requests long
    after it left.
    """

    def __init__(self) -> None:
        self.version = 0
        """Revision up to which all entries are known, from any source."""

        self._revisions_by_name: dict[str, int] = {}
        self._line_limiter = LineRateLimiter(MAX_STALE_LINES_PER_SECOND)

    @callback
    def get_revision(self, name: str) -> int:
        """Return the revision of the last update of a name, 0 if there was none."""
        return self._revisions_by_name.get(name, 0)

    @callback
    def record(self, name: str, revision: int) -> None:
        """Record the revision of an update of a name."""
        self._revisions_by_name[name] = max(self.get_revision(name), revision)

    @callback
    def advance(self, revision: int) -> None:
        """Record that all entries are known up to a revision."""
        self.version = max(self.version, revision)

    @callback
    def remove(self, name: str) -> None:
        """Remove a name; its updates up to `version` count as outdated from now on."""
        self._revisions_by_name.pop(name, None)

    @callback
    def is_new(self, name: str, revision: int, complete_revision: int) -> bool:
        """Return whether an entry is newer than the last known update of its name.

        `complete_revision` is the revision up to which all entries were known when the
        entry arrived: a name without a known update had no entry at that revision.
        """
        return revision > self._revisions_by_name.get(name, complete_revision)

    @callback
    def log_stale(
        self, source: UpdateSource, name: str, revision: int, known: int, now: float
    ) -> None:
        """Log an update that is older than the known state, within the line limit."""
        if not self._line_limiter.allow(now):
            return
        log_message(
            message_type="stale_update_refused",
            source=source.value,
            target=name,
            revision=revision,
            known=known,
            left_out=self._line_limiter.take_suppressed_count(),
        )

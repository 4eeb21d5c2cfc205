"""Era of the store: the number of times it was restored from a backup."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback
from swiftpin.exceptions import AnswerBrokenError
from swiftpin.model.store_revision import era_of


class StoreEra:
    """Tracks the newest era and detects answers and revisions of earlier ones."""

    def __init__(self) -> None:
        self._newest: int | None = None
        self.newest_since = 0.0
        """Suspend-aware time of the first answer of the newest era."""

        self.was_restored = False
        """Whether the store was restored since this instance started."""

    @property
    def newest(self) -> int:
        """Return the newest era seen in an answer, 0 before the first one."""
        return self._newest or 0

    @callback
    def observe(self, reported: int | None, now: float) -> int:
        """Record the era of an answer and return it.

        An answer without an era counts as one of the newest era. Raises
        `AnswerBrokenError` for an answer of an earlier era: it was delayed, and the
        restore has undone the state that it reports.
        """
        newest = self._newest
        if reported is None:
            return self.newest
        if newest is not None and reported < newest:
            raise AnswerBrokenError(
                f"answer of era {reported} arrived after one of era {newest}"
            )
        if newest is not None and reported > newest:
            log_message(message_type="store_restored", era=reported, before=newest)
            self.was_restored = True
        if reported != newest:
            self.newest_since = now
        self._newest = reported
        return reported

    @callback
    def is_outdated(self, revision: int | None) -> bool:
        """Return whether a revision predates the last restore of the store.

        The store may since have assigned the same number to another change.
        """
        if revision is None or self._newest is None:
            return False
        return era_of(revision) < self._newest

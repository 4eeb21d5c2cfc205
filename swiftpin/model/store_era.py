"""The era of the store: how often it came back from an older copy."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback
from swiftpin.exceptions import AnswerBrokenError
from swiftpin.model.store_revision import era_of


class StoreEra:
    """Judges answers and revisions by the newest era that an answer told."""

    def __init__(self) -> None:
        self._newest: int | None = None
        self.was_restored = False
        """Whether the store was restored since this instance started."""

    @property
    def newest(self) -> int:
        """Return the newest era that an answer told, 0 before there is one."""
        return self._newest or 0

    @callback
    def observe(self, told: int | None) -> int:
        """Return the era of an answer; one that tells none is of the newest known.

        Raises `AnswerBrokenError` for an answer of an earlier era: it was long on its
        way, and what it says was lost since.
        """
        newest = self._newest
        if told is None:
            return self.newest
        if newest is not None and told < newest:
            raise AnswerBrokenError(f"answer of era {told} after one of {newest}")
        if newest is not None and told > newest:
            log_message(message_type="store_restored", era=told, before=newest)
            self.was_restored = True
        self._newest = told
        return told

    @callback
    def is_outdated(self, revision: int | None) -> bool:
        """Return whether a revision is from before the store was last restored.

        The store may have given its number to another change since.
        """
        if revision is None or self._newest is None:
            return False
        return era_of(revision) < self._newest

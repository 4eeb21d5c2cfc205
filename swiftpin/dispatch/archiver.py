"""Moves a journal's final records to pages of their own."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.dispatch.archive_ref import ArchiveRef
from swiftpin.dispatch.final_line import FinalLine
from swiftpin.dispatch.head_page import HeadPage
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.page_codec import encode_archive
from swiftpin.store.client import ABSENT


class Archiver:
    """Writes pages under new names, before the head refers to them.

    When the head's write then fails, the old head still holds the records, or refers
    to the old page, and nothing is lost. `writes` and `bytes_written` count.
    """

    def __init__(
        self, store: JournalStore, journal: str, settings: JournalSettings, nonce: str
    ) -> None:
        self.writes = 0
        self.bytes_written = 0
        self._store = store
        self._journal = journal
        self._settings = settings
        self._nonce = nonce
        self._count = 0
        self._last: ArchiveRef | None = None
        self._last_finals_by_key: dict[str, FinalLine] = {}

    @callback
    def reset(self) -> None:
        """Begin a new page next time, since the journal was loaded anew."""
        self._last = None
        self._last_finals_by_key = {}

    async def async_shrink(self, head: HeadPage, term: int, oldest: int) -> None:
        """Move records until the head is small; leave out those before `oldest` (ms).

        Raises `StoreError`; the head is unchanged then.
        """
        while head.final_bytes > self._settings.page_limit:
            moved_by_key = head.oldest_finals(self._settings.page_limit)
            kept_by_key = {
                key: final
                for key, final in self._last_finals_by_key.items()
                if final.changed_at >= oldest
            }
            if _size(kept_by_key) + _size(moved_by_key) > self._settings.archive_limit:
                self.reset()
                kept_by_key = {}
            finals_by_key = kept_by_key | moved_by_key
            ref = await self._async_write(finals_by_key, term)
            head.archived(ref, moved_by_key, replaced=self._last)
            self._last, self._last_finals_by_key = ref, finals_by_key

    async def _async_write(
        self, finals_by_key: dict[str, FinalLine], term: int
    ) -> ArchiveRef:
        """Write a page and return the reference to it."""
        name = self._next_name(term)
        body = encode_archive(final.line for final in finals_by_key.values())
        self.writes += 1
        self.bytes_written += len(body)
        await self._store.async_put(name, body, expect=ABSENT)
        newest = max(final.changed_at for final in finals_by_key.values())
        return ArchiveRef(name=name, newest_at=newest)

    def _next_name(self, term: int) -> str:
        """Return a name that was never used, not even by a try whose answer was lost.

        The term in it tells a later holder which pages an earlier one left behind.
        """
        self._count += 1
        return f"{self._journal}/{term}-{self._nonce}-{self._count}"


def _size(finals_by_key: dict[str, FinalLine]) -> int:
    """Return the size of the records in bytes."""
    return sum(len(final.line) for final in finals_by_key.values())

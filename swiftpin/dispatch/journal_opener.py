"""Sealing and loading of a journal by a new holder."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from swiftpin.dispatch.archive_ref import ArchiveRef
from swiftpin.dispatch.conditional_object import ConditionalObject
from swiftpin.dispatch.exceptions import (
    JournalDeposedError,
    PageCorruptError,
    PageTakenError,
)
from swiftpin.dispatch.journal_record import JournalRecord
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.opened_journal import OpenedJournal
from swiftpin.dispatch.page_codec import (
    decode_archive,
    decode_head,
    encode_head,
    encode_record,
)
from swiftpin.dispatch.page_header import PageHeader
from swiftpin.exceptions import StoreOutcomeUnknownError

SEAL_TRIES: Final = 10
PARALLEL_READS: Final = 8


class JournalOpener:
    """Makes every later write of earlier holders fail, then reads all records."""

    def __init__(
        self, store: JournalStore, page: ConditionalObject, holder: str
    ) -> None:
        self._store = store
        self._page = page
        self._holder = holder
        self._reads = asyncio.Semaphore(PARALLEL_READS)

    async def async_open(
        self, term: int, next_writer_id: Callable[[], str]
    ) -> OpenedJournal:
        """Seal the journal for the term and return what it holds.

        Raises `JournalDeposedError` when a later term has sealed it, and
        `StoreError` when the store is away; opening again is then safe.
        """
        header, records = await self._async_seal(term, next_writer_id)
        archived_records_by_key = await self._async_read_archives(header.archives)
        return OpenedJournal(
            head_records_by_key={record.key: record for record in records},
            archived_records_by_key=archived_records_by_key,
            archives=header.archives,
            orphans=await self._async_orphans(term, header.archives),
        )

    async def _async_seal(
        self, term: int, next_writer_id: Callable[[], str]
    ) -> tuple[PageHeader, list[JournalRecord]]:
        """Write the head page again under our term; return what it held."""
        for _ in range(SEAL_TRIES):
            header, records = await self._async_read_head(term)
            sealed = PageHeader(
                term=term,
                holder=self._holder,
                writer=next_writer_id(),
                archives=header.archives,
            )
            lines = [encode_record(record) for record in records]
            try:
                await self._page.async_write(sealed.writer, encode_head(sealed, lines))
            except PageTakenError:
                # The earlier holder wrote in between: its records count, read again.
                continue
            return header, records
        raise StoreOutcomeUnknownError(f"sealing {self._page.name}: too many races")

    async def _async_read_head(
        self, term: int
    ) -> tuple[PageHeader, list[JournalRecord]]:
        """Read the head page and build on its version."""
        stored = await self._page.async_read()
        if stored is None:
            self._page.adopt(0)
            return PageHeader(term=0, holder="", writer=""), []
        header, records = decode_head(stored.body)
        if header.term > term or (
            header.term == term and header.holder != self._holder
        ):
            raise JournalDeposedError(
                f"the journal belongs to {header.holder} at term {header.term}"
            )
        self._page.adopt(stored.version)
        return header, records

    async def _async_read_archives(
        self, archives: tuple[ArchiveRef, ...]
    ) -> dict[str, JournalRecord]:
        """Return the records of all pages; the newer page counts."""
        pages = await asyncio.gather(
            *(self._async_read_archive(archive.name) for archive in archives)
        )
        return {record.key: record for page in pages for record in page}

    async def _async_read_archive(self, name: str) -> list[JournalRecord]:
        """Return the records of one page."""
        async with self._reads:
            stored = await self._store.async_get(name)
        if stored is None:
            # Opening without it would run its requests a second time.
            raise PageCorruptError(f"the journal's page {name} is missing")
        return decode_archive(stored.body)

    async def _async_orphans(
        self, term: int, archives: tuple[ArchiveRef, ...]
    ) -> tuple[str, ...]:
        """Return pages that earlier holders wrote and never referred to.

        Pages of our term or a later one are left alone: a later holder may have
        opened the journal since, and may refer to them.
        """
        prefix = f"{self._page.name}/"
        listing = await self._store.async_list(prefix)
        known = {archive.name for archive in archives}
        return tuple(
            name
            for name in listing.objects_by_name
            if name not in known and _term_of(name.removeprefix(prefix)) < term
        )


def _term_of(suffix: str) -> int:
    """Return the term in a page's name; a strange name counts as the latest."""
    digits = suffix.partition("-")[0]
    return int(digits) if digits.isdigit() else 2**63

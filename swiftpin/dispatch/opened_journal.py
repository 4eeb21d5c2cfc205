"""What a new holder finds in a journal."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.dispatch.archive_ref import ArchiveRef
from swiftpin.dispatch.journal_record import JournalRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenedJournal:
    """Records by key, each the newest of its key.

    `head_records` are in the head page itself, `archived_records_by_key` in the
    pages of `archives`. `orphans` are names of pages that nothing refers to.
    """

    head_records_by_key: dict[str, JournalRecord]
    archived_records_by_key: dict[str, JournalRecord]
    archives: tuple[ArchiveRef, ...]
    orphans: tuple[str, ...]

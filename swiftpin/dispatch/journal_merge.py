"""Taking over what a journal holds in the store into memory."""

from __future__ import annotations

from dataclasses import replace

from swiftpin.core import callback
from swiftpin.dispatch.final_line import FinalLine
from swiftpin.dispatch.head_page import HeadPage
from swiftpin.dispatch.journal_entry import JournalEntry
from swiftpin.dispatch.journal_index import JournalIndex
from swiftpin.dispatch.journal_record import JournalRecord
from swiftpin.dispatch.opened_journal import OpenedJournal
from swiftpin.dispatch.page_codec import encode_record
from swiftpin.dispatch.unknown import Unknown
from swiftpin.dispatch.wall_clock import WallClock


@callback
def record_of(entry: JournalEntry, wall: WallClock) -> JournalRecord:
    """Return the stored record of an entry."""
    return JournalRecord(
        key=entry.key,
        fingerprint=entry.fingerprint,
        request_id=entry.request_id,
        changed_at=wall.to_wall(entry.changed_at),
        outcome=entry.outcome,
    )


@callback
def final_line(record: JournalRecord) -> FinalLine:
    """Return the line of a record that has an outcome."""
    return FinalLine(line=encode_record(record), changed_at=record.changed_at)


@callback
def merge(
    opened: OpenedJournal,
    index: JournalIndex,
    *,
    retention: float,
    wall: WallClock,
    now: float,
) -> HeadPage:
    """Add the loaded records to the index and return the head page to go on with.

    What this process saw itself goes before what it loads: its requests that
    still run stay running. A request that an earlier holder began and did not end
    may have run, so it becomes unknown.
    """
    head = HeadPage()
    head.set_archives(opened.archives)
    own_keys = frozenset(entry.key for entry in index)
    for entry in index:
        _put_own(entry, opened, head, wall)
    records_by_key = opened.archived_records_by_key | opened.head_records_by_key
    entries = []
    for key, record in records_by_key.items():
        if key in own_keys:
            continue
        settled = _settled(record, wall.to_wall(now))
        entry = _entry_of(settled, wall.to_monotonic(settled.changed_at, now))
        if entry.changed_at + retention < now:
            continue
        entries.append(entry)
        if key in opened.head_records_by_key:
            head.put_final(key, final_line(settled))
    for entry in sorted(entries, key=lambda entry: entry.changed_at):
        index.add(entry)
    return head


def _put_own(
    entry: JournalEntry, opened: OpenedJournal, head: HeadPage, wall: WallClock
) -> None:
    """Put an entry of this process into the head unless a page holds it."""
    record = record_of(entry, wall)
    if entry.outcome is None:
        head.put_running(entry.key, encode_record(record))
        return
    archived = opened.archived_records_by_key.get(entry.key)
    if archived is None or archived.outcome != entry.outcome:
        head.put_final(entry.key, final_line(record))


def _settled(record: JournalRecord, wall_now: int) -> JournalRecord:
    """Return the record with an outcome."""
    if record.outcome is not None:
        return record
    return replace(record, outcome=Unknown(), changed_at=wall_now)


def _entry_of(record: JournalRecord, changed_at: float) -> JournalEntry:
    """Return the entry of a record that has an outcome."""
    return JournalEntry(
        key=record.key,
        fingerprint=record.fingerprint,
        request_id=record.request_id,
        changed_at=changed_at,
        outcome=record.outcome,
    )

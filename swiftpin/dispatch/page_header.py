"""Header of a journal's head page."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.dispatch.archive_ref import ArchiveRef


@dataclass(frozen=True, kw_only=True, slots=True)
class PageHeader:
    """Who owns the journal, and where its older records are.

    `writer` is unique to the write, so that a writer whose answer was lost
    recognises its own version when it reads the page back.
    """

    term: int
    holder: str
    writer: str
    archives: tuple[ArchiveRef, ...] = ()

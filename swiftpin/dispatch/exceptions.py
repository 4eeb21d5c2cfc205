"""Errors that only the dispatch package raises."""

from __future__ import annotations

from swiftpin.exceptions import (
    JournalUnavailableError,
    NoOwnerError,
    OutcomeUnknownError,
    OverloadedError,
    StoreError,
)


class SliceMovedError(NoOwnerError):
    """The request waited for a target that no longer serves its slice.

    The request was not run; whoever queued it may queue it at the slice's new owner.
    """


class JournalDeposedError(OutcomeUnknownError):
    """Another holder has sealed the journal; the request must be routed anew.

    This attempt was not run, yet the new holder may have run an earlier one, so the
    error does not claim that the request was not run.
    """


class JournalNotLoadedError(OutcomeUnknownError):
    """The holder took over while the store was away and knows no record yet.

    This attempt was not run, yet an earlier holder may have run the request.
    """


class JournalFullError(OverloadedError):
    """The journal has no room for another record that may not be forgotten."""


class TicketOfferedError(JournalUnavailableError):
    """The store is away; the request may be sent again with the ticket.

    `ticket` is the value of the header `Swiftpin-Ticket`.
    """

    def __init__(
        self, hint: str, *, ticket: str, retry_after: float | None = None
    ) -> None:
        super().__init__(hint, retry_after=retry_after)
        self.ticket = ticket


class PageTakenError(StoreError):
    """An object that only one writer may change was changed by another writer."""


class PageCorruptError(StoreError):
    """An object in the store cannot be read as what its name says."""

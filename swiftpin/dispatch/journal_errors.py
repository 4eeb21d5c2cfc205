"""The refusals of a journal."""

from __future__ import annotations

from random import Random
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.exceptions import (
    JournalFullError,
    JournalNotLoadedError,
    TicketOfferedError,
)
from swiftpin.dispatch.retry_after import retry_after
from swiftpin.exceptions import JournalUnavailableError

OUTAGE_BACKLOG: Final = 1.0
"""Seconds around which requests refused for the store are spread."""


class JournalErrors:
    """Makes refusals whose times to send again are spread."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    @callback
    def not_loaded(self) -> JournalNotLoadedError:
        """Return the refusal while the records of earlier holders are not known."""
        return JournalNotLoadedError(
            "the records of earlier requests cannot be read yet; send again",
            retry_after=self._after(),
        )

    @callback
    def full(self) -> JournalFullError:
        """Return the refusal of a request whose record has no room."""
        return JournalFullError(
            "too many requests are on record; send again later",
            retry_after=self._after(),
        )

    @callback
    def unavailable(self, ticket: str | None) -> JournalUnavailableError:
        """Return the refusal of a request that cannot be recorded.

        With a ticket the request may be sent again and run without a record.
        """
        hint = "the request cannot be recorded while the store is away"
        if ticket is None:
            return JournalUnavailableError(hint, retry_after=self._after())
        return TicketOfferedError(
            f"{hint}; send it again with the ticket, also in every later try",
            ticket=ticket,
            retry_after=self._after(),
        )

    def _after(self) -> float:
        """Return when to send again."""
        return retry_after(OUTAGE_BACKLOG, self._rng)

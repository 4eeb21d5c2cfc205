"""One request in a journal's memory."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.outcome import Outcome
from swiftpin.dispatch.unknown import Unknown

ENTRY_OVERHEAD: Final = 600
"""Bytes of Python objects that an entry takes beside its texts."""


@dataclass(eq=False, kw_only=True, slots=True)
class JournalEntry:
    """A request that began here or was loaded.

    `changed_at` is the last change in monotonic seconds. `outcome` is None while
    the request runs; then `ended` is the future that its resends wait for.
    """

    key: str
    fingerprint: str
    request_id: str
    changed_at: float
    outcome: Answered | Unknown | None = None
    ended: asyncio.Future[Outcome] | None = None

    @property
    def size(self) -> int:
        """Return about how many bytes of memory the entry takes."""
        texts = len(self.key) + len(self.fingerprint) + len(self.request_id)
        match self.outcome:
            case Answered() as answer:
                return ENTRY_OVERHEAD + texts + answer.size
            case _:
                return ENTRY_OVERHEAD + texts

    @callback
    def waited_for(self) -> asyncio.Future[Outcome]:
        """Return the future of the running request, made for the first resend."""
        if self.ended is None:
            self.ended = asyncio.get_running_loop().create_future()
        return self.ended

    @callback
    def tell(self, outcome: Outcome) -> None:
        """Give the outcome to the resends that wait."""
        if self.ended is not None and not self.ended.done():
            self.ended.set_result(outcome)

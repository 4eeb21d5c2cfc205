"""A target's answer on its way to the caller."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.dispatch.http_answer import HttpAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedAnswer:
    """An answer whose beginning, or whole, was read."""

    answer: HttpAnswer
    first_chunks: list[bytes]
    """What was read of the body."""

    answer_began_at: float
    """When the answer began, on the event loop's clock."""

    @callback
    def finish(self, now: float) -> None:
        """Hand the connection back, or close it if the answer was not read whole."""
        self.answer.finish(now)

"""A target's answer on its way to the caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from swiftpin.core import callback
from swiftpin.dispatch.http_answer import HttpAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedAnswer:
    """A target's answer with the part of its body that was read."""

    answer: HttpAnswer
    first_chunks: list[bytes]
    """Chunks of the body that were read."""

    answer_began_at: float
    """Time at which the answer started, on the event loop's clock."""

    on_finish: Callable[[bool], None]
    """Called at the end with whether the answer arrived completely."""

    @callback
    def finish(self, now: float) -> None:
        """Release the connection, or close it if the answer was not read completely."""
        self.on_finish(self.answer.is_received)
        self.answer.finish(now)

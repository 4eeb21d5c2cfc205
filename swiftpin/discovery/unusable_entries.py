"""Logging and counting of target entries that can't be used."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.helpers.line_rate_limiter import LineRateLimiter
from swiftpin.model.unusable_entry import UnusableReason

MAX_UNUSABLE_LINES_PER_SECOND: Final = 2
"""Limit on log lines about unusable entries: another writer may corrupt all entries,
and each list returns them again."""


class UnusableEntries:
    """Reports each unusable entry to a callback and the log."""

    def __init__(self) -> None:
        self.on_unusable: Callable[[str], None] = _ignore
        """Called with the reason for each unusable entry that is read."""

        self._line_limiter = LineRateLimiter(MAX_UNUSABLE_LINES_PER_SECOND)

    @callback
    def report(self, name: str, reason: UnusableReason, error: str, now: float) -> None:
        """Report an unusable entry; log lines above the limit are left out."""
        self.on_unusable(reason.value)
        if not self._line_limiter.allow(now):
            return
        log_message(
            message_type="target_entry_unusable",
            level="warning",
            target=name,
            reason=reason.value,
            error=error,
            left_out=self._line_limiter.take_suppressed_count(),
        )


@callback
def _ignore(reason: str) -> None:
    """Do nothing."""

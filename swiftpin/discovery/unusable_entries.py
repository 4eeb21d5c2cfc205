"""Lines and counts of entries that name no target to use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.helpers.line_rate_limiter import LineRateLimiter
from swiftpin.platform.unusable_entry import UnusableReason

UNUSABLE_LINES: Final = 2
"""Lines a second about entries that can't be used: another writer may spoil them all,
and each list brings them again."""


class UnusableEntries:
    """Tells of each unusable entry, whoever wrote it."""

    def __init__(self) -> None:
        self.on_unusable: Callable[[str], None] = _ignore
        """Called with the reason for each such entry that is read."""

        self._lines = LineRateLimiter(UNUSABLE_LINES)

    @callback
    def note(self, name: str, reason: UnusableReason, error: str, now: float) -> None:
        """Note an entry that can't be used."""
        self.on_unusable(reason.value)
        if not self._lines.allow(now):
            return
        log_message(
            message_type="target_entry_unusable",
            level="warning",
            target=name,
            reason=reason.value,
            error=error,
            left_out=self._lines.take_suppressed_count(),
        )


@callback
def _ignore(reason: str) -> None:
    """Do nothing."""

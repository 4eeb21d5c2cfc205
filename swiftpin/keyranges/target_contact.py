"""How a target answers the instance that assigns keys."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN

SILENT_LIMIT: Final = 1.2
"""Seconds without an answer to any call after which a target's keys go elsewhere."""

REFUSALS: Final = 3
REFUSAL_PAUSE: Final = 0.25
"""Refused connections in a row, and the seconds between two that count, that show that
no process is there. A target that has all its connections taken refuses too, and a
dozen calls at the same moment must not add up to a target that is gone."""


class TargetContact:
    """What is known of one target's answers, and until when it may hold keys."""

    def __init__(self) -> None:
        self.calls = asyncio.Lock()
        """Held while renewals are under way, so that none overtakes a release."""

        self.held_until = 0.0
        """Time at which every grant sent so far has ended on the target's clock."""

        self.is_gone = False
        self._failing_since: float | None = None
        self._refusals = 0
        self._refused_at: float | None = None

    @callback
    def note_grant(self, sent_at: float, hold: float) -> None:
        """Note a grant that the target may have taken."""
        ends_at = sent_at + hold * CLOCK_DRIFT + HOLD_MARGIN
        self.held_until = max(self.held_until, ends_at)

    @callback
    def unextended_hold(self, now: float) -> float:
        """Return the longest grant that ends no later than those sent already."""
        return (self.held_until - now - HOLD_MARGIN) / CLOCK_DRIFT

    @callback
    def note_answer(self) -> None:
        """Note that a call was answered."""
        self._failing_since = None
        self._refusals = 0
        self._refused_at = None

    @callback
    def note_failure(self, now: float) -> None:
        """Note that a call was not answered."""
        if self._failing_since is None:
            self._failing_since = now

    @callback
    def note_refusal(self, now: float) -> None:
        """Note that the target's address took no connection."""
        self.note_failure(now)
        if self._refused_at is not None and now - self._refused_at < REFUSAL_PAUSE:
            return
        self._refused_at = now
        self._refusals += 1
        if self._refusals >= REFUSALS:
            self.is_gone = True

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failing_since is not None

    @callback
    def is_lost(self, now: float) -> bool:
        """Return whether the target's keys should go elsewhere."""
        if self.is_gone:
            return True
        since = self._failing_since
        return since is not None and now - since >= SILENT_LIMIT

    @callback
    def may_hold(self, now: float) -> bool:
        """Return whether the target may still hold keys that were granted to it."""
        return not self.is_gone and now < self.held_until

"""How a target answers the instance that assigns keys."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.core import callback
from swiftpin.keyranges.const import CLOCK_DRIFT, HOLD_MARGIN

SILENT_LIMIT: Final = 1.2
"""Seconds without an answer to any call after which a target's keys go elsewhere."""


class TargetSession:
    """What is known of one target's answers, and until when it may hold keys."""

    def __init__(self) -> None:
        self.calls = asyncio.Lock()
        """Held while renewals are under way, so that none overtakes a release."""

        self.held_until = 0.0
        """Time at which every grant sent so far has ended on the target's clock."""

        self.is_gone = False
        """Whether another target has the address, so that this one has ended."""

        self._failing_since: float | None = None

    @callback
    def note_grant(self, arrived_at: float, hold: float) -> None:
        """Note a grant that the target may have taken, at that time at the latest.

        A target counts from the arrival, which is as late as the answer, or as the
        moment at which the call was given up, where a link lost what was sent.
        """
        ends_at = arrived_at + hold * CLOCK_DRIFT + HOLD_MARGIN
        self.held_until = max(self.held_until, ends_at)

    @callback
    def unextended_hold(self, now: float) -> float:
        """Return the longest grant that ends no later than those sent already."""
        return (self.held_until - now - HOLD_MARGIN) / CLOCK_DRIFT

    @callback
    def note_answer(self) -> None:
        """Note that a call was answered."""
        self._failing_since = None

    @callback
    def note_failure(self, now: float) -> None:
        """Note that a call was not answered."""
        if self._failing_since is None:
            self._failing_since = now

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

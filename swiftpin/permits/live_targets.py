"""Targets that are known to live."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Final

from swiftpin.core import callback

MAX_ANSWER_AGE: Final = 60.0
"""Seconds for which the last answer of a target is remembered."""


class LiveTargets:
    """Records when targets last answered, to this or other instances.

    Times are suspend-aware.
    """

    def __init__(self) -> None:
        self.has_worked_since: Callable[[str, float], bool] = _is_unknown
        """Returns whether this instance reached a target after a time."""

        self.request_probe: Callable[[str], None] = _ignore_target
        """Lets the link to a target be probed soon."""

        self.can_reach_targets: Callable[[], bool] = _is_possible
        """Returns whether this instance can expect to reach targets that live."""

        self._answered_at_by_target: dict[str, float] = {}
        """Those that answered last at the end."""

    @callback
    def record_answer(self, target: str, now: float) -> None:
        """Record that a target answered a request."""
        self._answered_at_by_target.pop(target, None)
        self._answered_at_by_target[target] = now

    @callback
    def is_live_since(self, target: str, at: float) -> bool:
        """Return whether a target was reached after a time, and probe it if not."""
        if self._answered_at_by_target.get(target, -math.inf) > at:
            return True
        if self.has_worked_since(target, at):
            return True
        self.request_probe(target)
        return False

    @callback
    def expire(self, now: float) -> None:
        """Forget earlier answers."""
        while self._answered_at_by_target:
            target, answered_at = next(iter(self._answered_at_by_target.items()))
            if now - answered_at < MAX_ANSWER_AGE:
                break
            del self._answered_at_by_target[target]


@callback
def _is_unknown(target: str, at: float) -> bool:
    """Return False, since nothing is known of a target."""
    return False


@callback
def _is_possible() -> bool:
    """Return True, since no link is known to be lost."""
    return True


@callback
def _ignore_target(target: str) -> None:
    """Do nothing."""

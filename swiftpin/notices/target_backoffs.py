"""Targets that asked this instance not to call them for a while."""

from __future__ import annotations

from collections.abc import Callable, Set

from eliot import log_message

from swiftpin.core import callback


class TargetBackoffs:
    """Ends of the back-off periods that targets asked for, by life id.

    A period concerns only the instance that was asked. Times are suspend-aware.
    """

    def __init__(self) -> None:
        self.on_began: Callable[[str, float], None] = _ignore
        """Called with a target and the seconds of its period when one begins."""

        self._until_by_target: dict[str, float] = {}

    @callback
    def record(self, target: str, seconds: float, now: float) -> None:
        """Record that a target asked for a back-off period.

        A period that is already running is never shortened.
        """
        until = now + seconds
        current = self._until_by_target.get(target, now)
        if until <= current:
            return
        self._until_by_target[target] = until
        if current <= now:
            log_message(
                message_type="target_backoff_began", target=target, seconds=seconds
            )
            self.on_began(target, seconds)

    @callback
    def remaining(self, target: str, now: float) -> float:
        """Return the seconds until a target may be called, 0 if it may be now."""
        until = self._until_by_target.get(target)
        return 0.0 if until is None else max(until - now, 0.0)

    @callback
    def running(self, now: float) -> frozenset[str]:
        """Return the targets that must not be called now."""
        return frozenset(
            target for target, until in self._until_by_target.items() if now < until
        )

    @callback
    def count(self, now: float) -> int:
        """Return how many targets must not be called now."""
        return len(self.running(now))

    @callback
    def retain_targets(self, targets: Set[str], now: float) -> None:
        """Drop periods that have ended and those of all other targets."""
        self._until_by_target = {
            target: until
            for target, until in self._until_by_target.items()
            if target in targets and now < until
        }


@callback
def _ignore(target: str, seconds: float) -> None:
    """Do nothing."""

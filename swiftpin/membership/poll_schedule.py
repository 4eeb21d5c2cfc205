"""When an instance that does not watch the store lists it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from swiftpin.core import callback
from swiftpin.membership.news_settings import NewsSettings


class PollSchedule:
    """Spreads the fleet's polls over time while no watcher is known to live.

    Were each instance to poll at once, the loss of the watchers or an outage of the
    store would end in a burst of calls that grows with the fleet.
    """

    def __init__(
        self,
        *,
        settings: NewsSettings,
        random: Random,
        fleet_size: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._random = random
        self._fleet_size = fleet_size
        self._due_at: float | None = None

    @property
    def interval(self) -> float:
        """Return the mean time in seconds between polls of one instance."""
        fleet_interval = self._fleet_size() / self._settings.polls_per_second
        return max(self._settings.poll_interval, fleet_interval)

    @callback
    def is_due(self, contact_age: float | None, now: float) -> bool:
        """Return whether to poll, given the age of the last known contact."""
        if contact_age is not None and contact_age < self._settings.silence_limit:
            self._due_at = None
            return False
        if self._due_at is None:
            self._due_at = now + self._random.uniform(0, self.interval)
        return now >= self._due_at

    @callback
    def note_poll(self, now: float) -> None:
        """Set the time of the next poll."""
        self._due_at = now + self.interval * self._random.uniform(0.5, 1.5)

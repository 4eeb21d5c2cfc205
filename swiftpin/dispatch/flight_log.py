"""Which requests were in flight when a target died."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.dispatch.suspect_run import SuspectRun

DEATH_WINDOW: Final = 10.0
"""Seconds within which a death is noticed after the answers broke off."""


class FlightLog:
    """Runs in flight by target, and those that broke off lately.

    A crash shows first as a broken connection and only later as a death, when the
    target is found restarted or gone. By then the runs have ended; without the
    broken ones nobody would be suspected.
    """

    def __init__(self) -> None:
        self._runs_by_target: dict[str, set[SuspectRun]] = {}
        self._broken_by_target: dict[str, list[SuspectRun]] = {}

    @callback
    def start(self, target: str, fingerprint: str, label: str) -> SuspectRun:
        """Note that a request is sent."""
        runs = self._runs_by_target.setdefault(target, set())
        if len(runs) == 1:
            # Of two or more, each has had company already.
            next(iter(runs)).company = True
        run = SuspectRun(
            target=target, fingerprint=fingerprint, label=label, company=bool(runs)
        )
        runs.add(run)
        return run

    @callback
    def end(self, run: SuspectRun, *, broken: bool, now: float) -> None:
        """Note that a request ended, or broke off without an answer."""
        runs = self._runs_by_target.get(run.target, set())
        runs.discard(run)
        if not runs:
            self._runs_by_target.pop(run.target, None)
        if broken:
            run.broken_at = now
            self._broken(run.target, now).append(run)

    @callback
    def take_dead(self, target: str, now: float) -> list[SuspectRun]:
        """Return the runs that a target's death cut off, each of them once."""
        running = self._runs_by_target.pop(target, set())
        broken = self._broken(target, now)
        del self._broken_by_target[target]
        return [*broken, *sorted(running, key=lambda run: run.fingerprint)]

    def _broken(self, target: str, now: float) -> list[SuspectRun]:
        """Return the runs that broke off lately, without the older ones."""
        recent = [
            run
            for run in self._broken_by_target.get(target, ())
            if run.broken_at is not None and run.broken_at + DEATH_WINDOW >= now
        ]
        self._broken_by_target[target] = recent
        return recent

"""Requests that are suspected of crashing targets."""

from __future__ import annotations

import asyncio
from typing import Final

from swiftpin.const import STORE_PREFIX_QUARANTINE
from swiftpin.core import callback
from swiftpin.dispatch.conditional_object import WRITE_TRIES
from swiftpin.dispatch.flight_log import FlightLog
from swiftpin.dispatch.journal_store import JournalStore
from swiftpin.dispatch.quarantine_changes import QuarantineChanges
from swiftpin.dispatch.quarantine_codec import decode_quarantine, encode_quarantine
from swiftpin.dispatch.quarantine_entry import QuarantineEntry
from swiftpin.dispatch.quarantine_verdict import QuarantineVerdict
from swiftpin.dispatch.run_ending import RunEnding
from swiftpin.dispatch.suspect_run import SuspectRun
from swiftpin.dispatch.target_death import TargetDeath
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.exceptions import (
    QuarantinedError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from swiftpin.store.client import ABSENT

LIFETIME: Final = 24 * 3600.0
"""Seconds after which the last death of a request no longer counts."""


class Quarantine:
    """Suspicions against the requests of one service, shared through the store.

    `exclusive` tells that nobody else sends to the targets, so that a request which
    was alone here was alone at all. Decisions use what is known in memory;
    `async_sync` exchanges it with the store, also for the operators' command.
    """

    def __init__(
        self, store: JournalStore, service: str, *, exclusive: bool, wall: WallClock
    ) -> None:
        self._store = store
        self._name = f"{STORE_PREFIX_QUARANTINE}{service}"
        self._exclusive = exclusive
        self._wall = wall
        self._flights = FlightLog()
        self._entries_by_fingerprint: dict[str, QuarantineEntry] = {}
        self._changes = QuarantineChanges()
        self._lock = asyncio.Lock()

    @property
    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return what is known, condemned requests first."""
        return tuple(self._entries_by_fingerprint.values())

    @property
    def needs_sync(self) -> bool:
        """Return whether the store lacks something."""
        return bool(self._changes)

    @callback
    def check(self, fingerprint: str) -> QuarantineVerdict:
        """Return whether the request may run freely or must run alone.

        Raises `QuarantinedError` when it may not run.
        """
        entry = self._entries_by_fingerprint.get(fingerprint)
        verdict = QuarantineVerdict.CLEAR if entry is None else entry.verdict
        if verdict is QuarantineVerdict.REFUSE:
            raise QuarantinedError(
                f"targets crashed while they ran this request ({fingerprint}); "
                "an operator can clear it"
            )
        return verdict

    @callback
    def begin(self, target: str, fingerprint: str, label: str) -> SuspectRun:
        """Note that a request is sent; `label` names it to operators."""
        return self._flights.start(target, fingerprint, label)

    @callback
    def end(self, run: SuspectRun, ending: RunEnding, now: float) -> None:
        """Note how a run ended; an answer clears the request."""
        broken = ending is RunEnding.BROKEN
        self._flights.end(run, broken=broken, now=now)
        if ending is RunEnding.ANSWERED:
            self.clear(run.fingerprint, now)

    @callback
    def target_died(self, target: str, death_id: str, now: float) -> None:
        """Suspect what was in flight; `death_id` is the boot id that ended."""
        for run in self._flights.take_dead(target, now):
            death = TargetDeath(
                id=f"{target}/{death_id}", alone=self._exclusive and not run.company
            )
            entry = QuarantineEntry(
                fingerprint=run.fingerprint,
                label=run.label,
                deaths=frozenset((death,)),
                changed_at=self._wall.to_wall(now),
            )
            self._changes.add(entry)
        self._apply(self._entries_by_fingerprint, now)

    @callback
    def clear(self, fingerprint: str, now: float) -> bool:
        """Forget the suspicion against a request; return whether there was one."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return False
        self._changes.clear(entry)
        self._apply(self._entries_by_fingerprint, now)
        return True

    async def async_sync(self, now: float) -> None:
        """Read what others know, and write what they do not.

        Raises `StoreError`; nothing is lost then, and calling again is safe.
        """
        async with self._lock:
            for _ in range(WRITE_TRIES):
                if await self._async_try_sync(now):
                    return
        raise StoreOutcomeUnknownError(f"writing {self._name}: too many races")

    async def _async_try_sync(self, now: float) -> bool:
        """Exchange with the store once; False when another writer came first."""
        stored = await self._store.async_get(self._name)
        known = {} if stored is None else decode_quarantine(stored.body)
        changes = self._changes
        if not changes:
            self._apply(known, now)
            return True
        merged = changes.apply(known, self._oldest(now))
        version = ABSENT if stored is None else stored.version
        body = encode_quarantine(merged.values())
        self._changes = QuarantineChanges()
        try:
            await self._store.async_put(self._name, body, expect=version)
        except StoreConflictError:
            self._changes = changes.followed_by(self._changes)
            return False
        except BaseException:
            self._changes = changes.followed_by(self._changes)
            raise
        self._apply(merged, now)
        return True

    def _apply(
        self, entries_by_fingerprint: dict[str, QuarantineEntry], now: float
    ) -> None:
        """Take entries over, with the changes that the store does not hold yet."""
        self._entries_by_fingerprint = self._changes.apply(
            entries_by_fingerprint, self._oldest(now)
        )

    def _oldest(self, now: float) -> int:
        """Return the wall time in ms before which a death no longer counts."""
        return self._wall.to_wall(now - LIFETIME)

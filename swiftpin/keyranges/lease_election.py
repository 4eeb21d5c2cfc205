"""The lease of the one instance that assigns keys."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import (
    EXTENSION_LIMIT,
    LEASE_RENEW_INTERVAL,
    LEASE_TIME,
)
from swiftpin.keyranges.election_rules import (
    RELAXED_POLL_INTERVAL,
    LeaseView,
    election_delay,
    is_free,
    next_term,
    poll_interval,
)
from swiftpin.keyranges.lease_record import LeaseRecord
from swiftpin.keyranges.lease_store import LeaseStore, LeaseWriteOutcome
from swiftpin.platform.store_client import StoreClient

ELIGIBILITY_WAIT: Final = 0.3
"""Seconds at the start for which an instance waits to learn its configuration before
it looks at the lease."""

RENEW_RETRY_DELAY: Final = 0.1
"""Seconds before a renewal that failed is tried again, while the lease still runs."""


class LeaseElection:
    """Takes the lease when its holder is gone, and renews it while this one has it.

    The holder may assign keys until `valid_until`: the sending of its last written
    renewal plus the lease time, on a clock that counts suspensions. A candidate waits
    longer than that without seeing a change, so two instances never assign at the same
    time, whatever was paused or cut off.

    While the store answers nobody, the holder goes on as long as every member named in
    the record votes to leave the lease alone (`extended_until`), up to a limit. An
    instance that is not named there waits beyond that limit. Without votes every
    outage of the store that outlasts the targets' grants would leave all keys unserved.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        peer: str,
        client: StoreClient,
        health: StoreHealth,
        rng: Random,
        strength: float,
        first_start: bool,
        is_holder_heard: Callable[[int], bool],
        is_linked: Callable[[], bool],
    ) -> None:
        self.valid_until = 0.0
        self.extended_until = 0.0
        """Until when every member has voted not to take over, at the holder."""

        self.own_vote_until = 0.0
        """Until when this instance has voted not to take over."""

        self.resigned_term = 0
        """Last term for which a holder said that it assigns keys no more."""

        self.is_standing_down = False
        self._eligible = asyncio.Event()

        self.wants_next_term = False
        """Whether the holder is to go on under its next term, for fences are scarce."""

        self.members: tuple[str, ...] = ()
        """Names of the instances to be written into the record."""

        self.on_seen: Callable[[LeaseRecord], None] = _ignore
        self._name = name
        self._incarnation = incarnation
        self._peer = peer
        self._store = LeaseStore(client, health, lambda record: self.on_seen(record))
        self._health = health
        self._rng = rng
        self._strength = strength
        self._first_start = first_start
        self._free_since: float | None = None
        self._is_holder_heard = is_holder_heard
        """Whether another instance says that it holds the lease, in a term or later."""

        self._is_linked = is_linked
        self._held_term = 0
        """Last term in which this instance got the lease."""

        self._renewal = 0
        """Number of this instance's last renewal that stands."""

        self._lapsed_term = 0
        """Last term in which the lease was found to have run out, or was given up."""

    @property
    def is_eligible(self) -> bool:
        """Return whether this instance knows enough to assign keys."""
        return self._eligible.is_set()

    @callback
    def note_willing(self) -> None:
        """Note that this instance knows enough to assign keys."""
        self._eligible.set()

    @property
    def record(self) -> LeaseRecord | None:
        """Return the record last seen, of whichever holder."""
        return self._store.record

    @property
    def voters(self) -> frozenset[str]:
        """Return the members whose votes the holder needs.

        A renewal without an answer may have been written, so those it named count too.
        """
        written = () if self.record is None else self.record.members
        return frozenset((*written, *self._store.attempted_members)) - {self._name}

    @callback
    def is_held(self, now: float) -> bool:
        """Return whether this instance may assign keys at a time.

        A lease that was found to have run out never counts again in its term, neither
        by a late vote nor by a renewal that was still on its way: others may have
        been told that its holder stopped, and take over without a wait.
        """
        if self._held_term <= self._lapsed_term:
            return False
        limit = self.valid_until + EXTENSION_LIMIT
        if now < self.valid_until or now < min(self.extended_until, limit):
            return True
        log_message(message_type="lease_lapsed", level="warning", term=self._held_term)
        self._lapsed_term = self._held_term
        return False

    @callback
    def own_resigned_term(self, now: float) -> int:
        """Return the last term for which this instance certainly assigns no keys."""
        return 0 if self.is_held(now) else self._lapsed_term

    @property
    def term(self) -> int:
        """Return the highest term seen; a restored store may show an earlier one."""
        seen = 0 if self.record is None else self.record.term
        return max(seen, self._held_term)

    async def async_run(self) -> None:
        """Keep the lease, or wait for it, until cancelled."""
        await self._async_wait_until_eligible()
        while True:
            now = suspend_aware_now()
            if self.is_held(now):
                await asyncio.sleep(await self._async_renew())
            else:
                await asyncio.sleep(await self._async_poll(now))

    async def async_probe(self) -> None:
        """Read the lease, to learn whether the store answers this instance."""
        if self.is_held(suspend_aware_now()):
            return
        try:
            await self._store.async_read()
        except StoreError as err:
            self._health.note_failure(str(err), suspend_aware_now())

    async def async_give_up(self) -> None:
        """Let another instance take over at once; grants go on until they end."""
        self.is_standing_down = True
        record = self.record
        if record is None or not self.is_held(suspend_aware_now()):
            return
        self._lapsed_term = self._held_term
        log_message(message_type="lease_given_up", term=self.term)
        free = LeaseRecord(
            holder="",
            peer="",
            term=self.term,
            renewal=self._renewal + 1,
            era=self._store.era,
            members=record.members,
        )
        try:
            await self._store.async_write_final(free)
        except StoreError as err:
            # Whoever comes next then waits until the lease has run out.
            log_message(message_type="lease_not_freed", level="warning", error=str(err))

    async def _async_wait_until_eligible(self) -> None:
        """Wait at the start until this instance may take the lease, but not for long.

        A look just before that is wasted, and after a restart of all instances every
        key waits for the next one.
        """
        try:
            async with asyncio.timeout(ELIGIBILITY_WAIT):
                await self._eligible.wait()
        except TimeoutError:
            log_message(
                message_type="lease_not_wanted_yet",
                level="warning",
                waited=ELIGIBILITY_WAIT,
            )

    async def _async_renew(self) -> float:
        """Write a renewal; return the seconds until the next one."""
        term, era = self.term, self._store.era
        # Not made from the record last seen: a restored store shows an earlier one.
        renewed = LeaseRecord(
            holder=self._incarnation,
            peer=self._peer,
            term=next_term(term, era) if self.wants_next_term else term,
            renewal=self._renewal + 1,
            era=era,
            members=self.members,
        )
        if await self._async_write(renewed):
            if renewed.term > term:
                self.wants_next_term = False
                log_message(message_type="lease_next_term", term=renewed.term)
            return LEASE_RENEW_INTERVAL
        # On votes alone nothing is lost by a pause, and each try is two calls of a
        # store that answers nobody: 88 in an outage of 8 s (counted in a log).
        runs_on_votes = suspend_aware_now() >= self.valid_until
        return RELAXED_POLL_INTERVAL if runs_on_votes else RENEW_RETRY_DELAY

    async def _async_poll(self, now: float) -> float:
        """Look at the lease, take it when it is free; return the seconds to wait."""
        if self._is_holder_heard(self.term):
            return RELAXED_POLL_INTERVAL * self._rng.uniform(0.7, 1.0)
        try:
            await self._store.async_read()
        except StoreError as err:
            self._health.note_failure(str(err), suspend_aware_now())
            return self._poll_interval() * self._rng.uniform(0.8, 1.6)
        now = suspend_aware_now()
        view = self._view()
        is_candidate = self.is_eligible and not self.is_standing_down
        if is_candidate and is_free(view, self._name, now):
            if self._free_since is None:
                self._free_since = now
            delay = election_delay(view, self._name, self._strength)
            remaining = self._free_since + delay - now
            if remaining > 0:
                return min(remaining, self._poll_interval())
            await self._async_acquire()
        else:
            self._free_since = None
        return self._poll_interval() * self._rng.uniform(0.6, 1.2)

    @callback
    def _poll_interval(self) -> float:
        """Return the seconds until the next look, before they are spread."""
        return poll_interval(
            self._view(), self._name, self._strength, is_linked=self._is_linked()
        )

    def _view(self) -> LeaseView:
        """Return what this instance knows of the lease."""
        era = self._store.era
        is_first_era = era == 0 or self._first_start
        return LeaseView(
            record=self.record,
            era=era,
            may_have_lost_record=self._store.was_restored or not is_first_era,
            resigned_term=self.resigned_term,
            unchanged_since=self._store.unchanged_since,
            own_vote_until=self.own_vote_until,
        )

    async def _async_acquire(self) -> None:
        """Try to become the holder, under the next term."""
        record = self.record
        acquired = LeaseRecord(
            holder=self._incarnation,
            peer=self._peer,
            term=next_term(self.term, self._store.era),
            renewal=0,
            era=self._store.era,
            members=() if record is None else record.members,
        )
        if await self._async_write(acquired):
            self._free_since = None
            log_message(message_type="lease_taken", term=acquired.term)

    async def _async_write(self, record: LeaseRecord) -> bool:
        """Write a record of this instance's own; return whether it stands."""
        match await self._store.async_write(record):
            case LeaseWriteOutcome.WRITTEN:
                # The same write may have been tried before; candidates may have
                # counted from the first of these tries.
                self.valid_until = self._store.unchanged_since + LEASE_TIME
                self._held_term = record.term
                self._renewal = record.renewal
                return True
            case LeaseWriteOutcome.HELD_BY_OTHER:
                # Somebody else has it: no vote counts any more.
                self._lapsed_term = self._held_term
        return False


@callback
def _ignore(record: LeaseRecord) -> None:
    """Do nothing."""

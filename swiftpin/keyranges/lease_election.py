"""Election of the one instance that assigns keys, by a lease in the store."""

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
"""Maximum seconds for which an instance waits at its start for the configuration before
it reads the lease."""

LOST_LINKS_DELAY: Final = 1.0
"""Seconds for which an instance that has lost links to targets leaves a free lease to
others. They poll it within this time."""

RENEW_RETRY_DELAY: Final = 0.1
"""Seconds before a failed renewal is retried while the lease is still valid."""


@callback
def _never() -> bool:
    """Return False, for instances without links to targets."""
    return False


class LeaseElection:
    """Acquires the lease when its holder is gone, and renews it while it holds it.

    The holder may assign keys until `valid_until`: the time at which it sent its last
    successful renewal plus `LEASE_TIME`, on a clock that includes suspensions. A
    candidate waits longer than that without seeing a change. So two instances never
    assign keys at the same time, even if one was suspended or partitioned.

    While the store is unavailable to all instances, the holder continues for as long as
    every member in the record votes not to acquire the lease (`extended_until`), up to
    a limit. An instance that is not a member waits beyond that limit. Without votes,
    all keys would become unserved in every store outage that outlasts the targets'
    grants.
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
        cpu_capacity: float,
        first_start: bool,
        is_holder_alive: Callable[[int], bool],
        has_live_links: Callable[[], bool],
        has_lost_target_links: Callable[[], bool] = _never,
    ) -> None:
        self.valid_until = 0.0
        """Time until which this holder's lease is valid without votes."""

        self.extended_until = 0.0
        """Time until which the votes of all members extend this holder's lease."""

        self.own_vote_until = 0.0
        """Time until which this instance has voted not to acquire the lease."""

        self.resigned_term = 0
        """Last term in which a holder is known to have stopped assigning keys."""

        self.is_standing_down = False
        self._eligible = asyncio.Event()

        self.wants_next_term = False
        """Whether the holder should begin its next term because fences run low."""

        self.members: tuple[str, ...] = ()
        """Names of the instances to write into the record, strongest first."""

        self.on_record: Callable[[LeaseRecord], None] = _ignore
        self._name = name
        self._incarnation = incarnation
        self._peer = peer
        self._store = LeaseStore(client, health, lambda record: self.on_record(record))
        self._health = health
        self._rng = rng
        self._cpu_capacity = cpu_capacity
        self._first_start = first_start
        self._free_since: float | None = None
        self._is_holder_alive = is_holder_alive
        """Whether another instance claims the lease in a given or later term."""

        self._has_live_links = has_live_links
        self._has_lost_target_links = has_lost_target_links
        """Whether this instance does not reach targets that others may reach."""

        self._held_term = 0
        """Last term in which this instance acquired the lease."""

        self._renewal = 0
        """Number of this instance's last successful renewal."""

        self._lapsed_term = 0
        """Last term in which this instance's lease expired or was given up."""

    @property
    def is_eligible(self) -> bool:
        """Return whether this instance has a configuration, so it can assign keys."""
        return self._eligible.is_set()

    @callback
    def note_eligible(self) -> None:
        """Note that this instance has a configuration, so it can assign keys."""
        self._eligible.set()

    @property
    def record(self) -> LeaseRecord | None:
        """Return the last known record, of any holder."""
        return self._store.record

    @property
    def voters(self) -> frozenset[str]:
        """Return the members whose votes the holder needs.

        These include the members in a renewal whose answer was lost, because it may
        have been written.
        """
        recorded_members = () if self.record is None else self.record.members
        return frozenset((*recorded_members, *self._store.attempted_members)) - {
            self._name
        }

    @callback
    def is_held(self, now: float) -> bool:
        """Return whether this instance may assign keys at the given time.

        A lease that has expired stays expired for its term, even if a late vote or the
        answer to a renewal arrives: other instances may have been notified that its
        holder stopped, and may take over without waiting.
        """
        if self._held_term <= self._lapsed_term:
            return False
        max_extended_until = self.valid_until + EXTENSION_LIMIT
        if now < self.valid_until or now < min(self.extended_until, max_extended_until):
            return True
        log_message(message_type="lease_lapsed", level="warning", term=self._held_term)
        self._lapsed_term = self._held_term
        return False

    @callback
    def own_resigned_term(self, now: float) -> int:
        """Return the last term that this instance resigned, 0 while it assigns keys."""
        return 0 if self.is_held(now) else self._lapsed_term

    @property
    def may_have_lost_records(self) -> bool:
        """Return whether the store may have lost records that it had before."""
        era = self._store.era
        is_first_era = era == 0 or self._first_start
        return self._store.was_restored or not is_first_era

    @property
    def term(self) -> int:
        """Return the highest known term; a restored store may have a lower one."""
        known_term = 0 if self.record is None else self.record.term
        return max(known_term, self._held_term)

    async def async_run(self) -> None:
        """Renew the lease, or wait to acquire it, until cancelled."""
        await self._async_wait_until_eligible()
        while True:
            now = suspend_aware_now()
            if self.is_held(now):
                await asyncio.sleep(await self._async_renew())
            else:
                await asyncio.sleep(await self._async_poll(now))

    async def async_probe(self) -> None:
        """Read the lease to check whether the store answers this instance."""
        if self.is_held(suspend_aware_now()):
            return
        try:
            await self._store.async_read()
        except StoreError as err:
            self._health.record_failure(str(err), suspend_aware_now())

    async def async_give_up(self) -> None:
        """Give up the lease so that another instance can acquire it immediately.

        Grants stay valid until they expire. This instance does not acquire it again.
        """
        self.is_standing_down = True
        await self.async_hand_over()

    async def async_hand_over(self) -> None:
        """Give up the lease, but remain a candidate if nobody else acquires it."""
        record = self.record
        if record is None or not self.is_held(suspend_aware_now()):
            return
        self._lapsed_term = self._held_term
        log_message(message_type="lease_given_up", term=self.term)
        final_record = LeaseRecord(
            holder="",
            peer="",
            term=self.term,
            renewal=self._renewal + 1,
            era=self._store.era,
            members=record.members,
        )
        try:
            await self._store.async_write_final(final_record)
        except StoreError as err:
            # The next holder then has to wait until the lease has expired.
            log_message(message_type="lease_not_freed", level="warning", error=str(err))

    async def _async_wait_until_eligible(self) -> None:
        """Wait at the start, up to a limit, until this instance may acquire the lease.

        A read before that can't lead to an acquisition, and after a restart of all
        instances no key would be served until the next read.
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
        # Not derived from the last known record, which a restored store may have
        # replaced by an older one.
        renewed_record = LeaseRecord(
            holder=self._incarnation,
            peer=self._peer,
            term=next_term(term, era) if self.wants_next_term else term,
            renewal=self._renewal + 1,
            era=era,
            members=self.members,
        )
        if await self._async_write(renewed_record):
            if renewed_record.term > term:
                self.wants_next_term = False
                log_message(message_type="lease_next_term", term=renewed_record.term)
            return LEASE_RENEW_INTERVAL
        # While votes extend the lease, a delay does no harm, and each attempt makes two
        # calls to an unavailable store: 88 calls in an outage of 8 s.
        relies_on_votes = suspend_aware_now() >= self.valid_until
        return RELAXED_POLL_INTERVAL if relies_on_votes else RENEW_RETRY_DELAY

    async def _async_poll(self, now: float) -> float:
        """Read the lease and acquire it if it is free; return the seconds to wait."""
        if self._is_holder_alive(self.term):
            return RELAXED_POLL_INTERVAL * self._rng.uniform(0.7, 1.0)
        try:
            await self._store.async_read()
        except StoreError as err:
            self._health.record_failure(str(err), suspend_aware_now())
            return self._poll_interval() * self._rng.uniform(0.8, 1.6)
        now = suspend_aware_now()
        view = self._view()
        is_candidate = self.is_eligible and not self.is_standing_down
        if is_candidate and is_free(view, self._name, now):
            if self._free_since is None:
                self._free_since = now
            delay = election_delay(view, self._name, self._cpu_capacity)
            if self._has_lost_target_links():
                delay += LOST_LINKS_DELAY
            remaining = self._free_since + delay - now
            if remaining > 0:
                return min(remaining, self._poll_interval())
            await self._async_acquire()
        else:
            self._free_since = None
        return self._poll_interval() * self._rng.uniform(0.6, 1.2)

    @callback
    def _poll_interval(self) -> float:
        """Return the seconds until the next read, without jitter."""
        return poll_interval(
            self._view(),
            self._name,
            self._cpu_capacity,
            has_live_links=self._has_live_links(),
        )

    def _view(self) -> LeaseView:
        """Return what this instance knows about the lease."""
        return LeaseView(
            record=self.record,
            era=self._store.era,
            may_have_lost_record=self.may_have_lost_records,
            resigned_term=self.resigned_term,
            unchanged_since=self._store.unchanged_since,
            own_vote_until=self.own_vote_until,
        )

    async def _async_acquire(self) -> None:
        """Try to acquire the lease under the next term."""
        record = self.record
        acquired_record = LeaseRecord(
            holder=self._incarnation,
            peer=self._peer,
            term=next_term(self.term, self._store.era),
            renewal=0,
            era=self._store.era,
            members=() if record is None else record.members,
        )
        if await self._async_write(acquired_record):
            self._free_since = None
            log_message(message_type="lease_taken", term=acquired_record.term)

    async def _async_write(self, record: LeaseRecord) -> bool:
        """Write a record that names this instance; return whether it was written."""
        match await self._store.async_write(record):
            case LeaseWriteOutcome.WRITTEN:
                # The same write may have been attempted before; candidates may have
                # measured the lease's age from the first attempt.
                self.valid_until = self._store.unchanged_since + LEASE_TIME
                self._held_term = record.term
                self._renewal = record.renewal
                return True
            case LeaseWriteOutcome.HELD_BY_OTHER:
                # Another instance holds the lease, so votes no longer count.
                self._lapsed_term = self._held_term
        return False


@callback
def _ignore(record: LeaseRecord) -> None:
    """Do nothing."""

"""Votes to leave the lease to its holder while the store answers nobody."""

from __future__ import annotations

import asyncio
import math

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.links import FleetLinks
from swiftpin.keyranges.const import VOTE_DURATION
from swiftpin.keyranges.lease_election import LeaseElection


class ExtensionVotes:
    """Gives votes to the holder of the lease and counts those that it gets.

    A member votes only while the store answers neither of the two: when it turns just
    the holder away, somebody whom it serves had better take over.
    """

    def __init__(
        self, *, links: FleetLinks, lease: LeaseElection, health: StoreHealth
    ) -> None:
        self._links = links
        self._lease = lease
        self._health = health
        self._requested_by = ""
        """Incarnation of the holder that lost the store."""

        self._requested_at = 0.0
        self._voted_for = ""
        """Incarnation of the holder for which this member voted last."""

        self._probe: asyncio.Task[None] | None = None

    @callback
    def cast_vote(self, link: PeerLink, now: float) -> bool:
        """Return whether to leave the lease to its holder at the other end of a link.

        Only what its holder says counts: heartbeats go to other instances too, and
        what those say must not make an old loss look like a new one.
        """
        heartbeat = link.heartbeat
        if heartbeat is None or not heartbeat.leads:
            return False
        is_given = self._should_vote(link, heartbeat, now)
        if is_given:
            self._lease.own_vote_until = now + VOTE_DURATION
        self._log_vote(link.incarnation if is_given else "")
        return is_given

    @callback
    def _should_vote(self, link: PeerLink, heartbeat: Item, now: float) -> bool:
        """Return whether to vote for the holder at the other end of a link."""
        if not heartbeat.store_lost:
            self._requested_by = ""
            return False
        if self._requested_by != link.incarnation:
            self._requested_by = link.incarnation
            self._requested_at = now
            self._probe = asyncio.create_task(self._lease.async_probe())
        answered_at = self._health.answered_at
        return answered_at is None or answered_at < self._requested_at

    @callback
    def _log_vote(self, holder: str) -> None:
        """Write a line when votes for a holder begin or end; empty for none."""
        if holder == self._voted_for:
            return
        if self._voted_for:
            log_message(message_type="votes_ended", holder=self._voted_for)
        if holder:
            log_message(message_type="votes_begun", holder=holder)
        self._voted_for = holder

    @callback
    def handle_vote(self, link: PeerLink, requested_at: float) -> None:
        """Take a vote; `echo` is this instance's time when it was asked for.

        Counted from before the vote was made, so it never looks longer.
        """
        link.vote_expires_at = max(link.vote_expires_at, requested_at + VOTE_DURATION)
        self._lease.extended_until = self._extended_until()

    @callback
    def _extended_until(self) -> float:
        """Return until when all members have voted to leave the lease alone."""
        until_by_name: dict[str, float] = {}
        for link in self._links.incoming:
            name = link.incarnation.partition("/")[0]
            known = until_by_name.get(name, 0.0)
            until_by_name[name] = max(known, link.vote_expires_at)
        return min(
            (until_by_name.get(name, 0.0) for name in self._lease.voters),
            default=math.inf,
        )

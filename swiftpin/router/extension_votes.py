"""Votes that extend the lease of its holder while the store is unreachable."""

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
    """Casts votes for the lease holder and counts the votes received as holder.

    A member votes only while the store answers neither the holder nor the member. If
    only the holder has lost the store, an instance that can reach it should take over.
    """

    def __init__(
        self, *, links: FleetLinks, lease: LeaseElection, health: StoreHealth
    ) -> None:
        self._links = links
        self._lease = lease
        self._health = health
        self._requested_by = ""
        """Incarnation of the holder that has lost the store and needs votes."""

        self._requested_at = 0.0
        self._voted_for = ""
        """Incarnation of the holder that this member votes for, empty if none."""

        self._probe: asyncio.Task[None] | None = None

    @callback
    def cast_vote(self, link: PeerLink, now: float) -> bool:
        """Return whether to vote for the peer of a link as the lease holder.

        Only the holder's own heartbeats are considered: links to other instances must
        not reset the time of the loss.
        """
        heartbeat = link.heartbeat
        if heartbeat is None or not heartbeat.leads:
            return False
        is_cast = self._should_vote(link, heartbeat, now)
        if is_cast:
            self._lease.own_vote_until = now + VOTE_DURATION
        self._log_vote(link.incarnation if is_cast else "")
        return is_cast

    @callback
    def _should_vote(self, link: PeerLink, heartbeat: Item, now: float) -> bool:
        """Return whether the store answers neither the holder nor this member."""
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
        """Log when votes for a holder begin or end; `holder` is empty for no vote."""
        if holder == self._voted_for:
            return
        if self._voted_for:
            log_message(message_type="votes_ended", holder=self._voted_for)
        if holder:
            log_message(message_type="votes_begun", holder=holder)
        self._voted_for = holder

    @callback
    def handle_vote(self, link: PeerLink, requested_at: float) -> None:
        """Record a vote that this instance requested at `requested_at`.

        The validity of the vote counts from the request, which is earlier than the
        vote, so it is never overestimated.
        """
        link.vote_expires_at = max(link.vote_expires_at, requested_at + VOTE_DURATION)
        self._lease.extended_until = self._extended_until()

    @callback
    def _extended_until(self) -> float:
        """Return the time until which the votes of all members extend the lease."""
        until_by_name: dict[str, float] = {}
        for link in self._links.incoming:
            name = link.incarnation.partition("/")[0]
            known = until_by_name.get(name, 0.0)
            until_by_name[name] = max(known, link.vote_expires_at)
        return min(
            (until_by_name.get(name, 0.0) for name in self._lease.voters),
            default=math.inf,
        )

"""Permit requests of this instance that await a decision."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from swiftpin.core import callback
from swiftpin.fleet.link import PeerLink
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_query import PermitQuery


class AbortReason(Enum):
    """Why a permit request was aborted without a decision."""

    ISSUER_LOST = auto()
    """The issuer is unreachable; another one decides."""

    OUTDATED = auto()
    """The target no longer owns the key."""

    QUARANTINED = auto()
    """Several targets have ended under the request."""


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A permit request that awaits a decision."""

    query: PermitQuery
    future: asyncio.Future[PermitDecision | AbortReason]
    issuer: PeerLink | None
    """Link to the issuing instance; None if it is this instance."""

    @callback
    def resolve(self, result: PermitDecision | AbortReason) -> None:
        """Resolve the future, unless it is done."""
        if not self.future.done():
            self.future.set_result(result)


class PendingRequests:
    """Tracks pending permit requests and aborts those that can't be decided."""

    def __init__(self) -> None:
        self._pending_by_number: dict[int, PendingRequest] = {}

    @callback
    def add(self, number: int, pending: PendingRequest) -> None:
        """Add a request under its number."""
        self._pending_by_number[number] = pending

    @callback
    def remove(self, number: int) -> None:
        """Remove a request that is no longer pending."""
        self._pending_by_number.pop(number, None)

    @callback
    def resolve(
        self, number: int, issuer: PeerLink | None, decision: PermitDecision
    ) -> None:
        """Apply a decision, unless the request went to another issuer meanwhile."""
        pending = self._pending_by_number.get(number)
        if pending is not None and pending.issuer is issuer:
            pending.resolve(decision)

    @callback
    def abort_for_link(self, link: PeerLink) -> None:
        """Abort all requests to an issuer whose link was lost."""
        for pending in self._pending_by_number.values():
            if pending.issuer is link:
                pending.resolve(AbortReason.ISSUER_LOST)

    @callback
    def abort_unresponsive(self, now: float) -> None:
        """Abort the requests to issuers that do not respond.

        A frozen or disconnected issuer never answers, and its link is only closed after
        the caller's objective has passed.
        """
        for pending in self._pending_by_number.values():
            issuer = pending.issuer
            if issuer is not None and not issuer.is_responsive(now):
                pending.resolve(AbortReason.ISSUER_LOST)

    @callback
    def abort_quarantined(self, fingerprint: int) -> None:
        """Abort all copies of a request that is quarantined."""
        for pending in self._pending_by_number.values():
            if pending.query.fingerprint == fingerprint:
                pending.resolve(AbortReason.QUARANTINED)

    @callback
    def abort_outdated(self, service: str) -> None:
        """Abort the requests for targets that no longer own the requested key.

        When a hot key moves, most of its requests are queued for the former owner. They
        would get slots there one by one and be refused, each refusal counting as a
        send, while the new owner idles.
        """
        for pending in self._pending_by_number.values():
            query = pending.query
            if query.service == service and not query.is_current():
                pending.resolve(AbortReason.OUTDATED)

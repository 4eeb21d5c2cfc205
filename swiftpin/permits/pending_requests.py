"""Requests for permits that this instance waits for."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto

from swiftpin.core import callback
from swiftpin.fleet.link import PeerLink
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_query import PermitQuery


class AbortReason(Enum):
    """Why a request for a permit ended without a decision."""

    ISSUER_LOST = auto()
    """Who was asked is not heard any more; another one decides."""

    OUTDATED = auto()
    """The key has another owner by now, or none."""


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request for a permit that is not answered yet."""

    query: PermitQuery
    future: asyncio.Future[PermitDecision | AbortReason]
    issuer: PeerLink | None
    """Link to the instance that was asked; None for this one."""

    @callback
    def resolve(self, result: PermitDecision | AbortReason) -> None:
        """End the wait, unless it has ended."""
        if not self.future.done():
            self.future.set_result(result)


class PendingRequests:
    """Waits by number, and what ends them besides an answer."""

    def __init__(self) -> None:
        self._pending_by_number: dict[int, PendingRequest] = {}

    @callback
    def add(self, number: int, pending: PendingRequest) -> None:
        """Take a request that was asked."""
        self._pending_by_number[number] = pending

    @callback
    def remove(self, number: int) -> None:
        """Forget a request that waits no longer."""
        self._pending_by_number.pop(number, None)

    @callback
    def resolve(
        self, number: int, issuer: PeerLink | None, decision: PermitDecision
    ) -> None:
        """Take a decision, unless somebody else was asked meanwhile."""
        pending = self._pending_by_number.get(number)
        if pending is not None and pending.issuer is issuer:
            pending.resolve(decision)

    @callback
    def abort_for_link(self, link: PeerLink) -> None:
        """End all waits for an instance whose link broke."""
        for pending in self._pending_by_number.values():
            if pending.issuer is link:
                pending.resolve(AbortReason.ISSUER_LOST)

    @callback
    def abort_unresponsive(self, now: float) -> None:
        """End the waits for instances that fell silent.

        One that was frozen or cut off answers nothing; waiting for the link's end would
        take longer than the caller's objective.
        """
        for pending in self._pending_by_number.values():
            issuer = pending.issuer
            if issuer is not None and not issuer.is_responsive(now):
                pending.resolve(AbortReason.ISSUER_LOST)

    @callback
    def abort_outdated(self, service: str) -> None:
        """End the waits for slots of targets that own the asked key no more.

        A hot key is moved away from the very target at which most of its requests wait.
        Left there they would get slots one by one and be refused, each refusal counted
        as a second send, and the new owner would idle meanwhile.
        """
        for pending in self._pending_by_number.values():
            query = pending.query
            if query.service == service and not query.is_current():
                pending.resolve(AbortReason.OUTDATED)

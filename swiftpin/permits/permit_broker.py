"""Access of the request path to permits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.target import Target
from swiftpin.permits.cold_targets import ALL_WARM, ColdTargets
from swiftpin.permits.competing_callers import CompetingCallers
from swiftpin.permits.issuer_authority import TAKEOVER_WAIT, IssuerAuthority
from swiftpin.permits.pending_requests import (
    AbortReason,
    PendingRequest,
    PendingRequests,
)
from swiftpin.permits.permit import Permit
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_issuer import PermitIssuer
from swiftpin.permits.permit_issuers import NO_ISSUERS, PermitIssuers
from swiftpin.permits.permit_query import PermitQuery
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.queue_counts import QueueCounts
from swiftpin.permits.rate_report_messages import decode_rate_report
from swiftpin.permits.rate_reports import RateReports
from swiftpin.permits.reservation_counts import ReservationCounts
from swiftpin.poison.suspect_table import SuspectTable

EXPIRE_INTERVAL: Final = 0.05
"""Seconds between two checks for requests that can't be served in time."""

MAX_LIMITED_PERMIT_AGE: Final = 1.0
"""Seconds from its grant for which a permit for a target with a rate limit is valid.
Permits that were delayed, or saved by a frozen process, would be used in a burst."""

UNLIMITED_PERMIT_REJECTION: Final = PermitDecision(
    target="", retry_after=TAKEOVER_WAIT, is_rate_limited=True
)
"""Rejection of a request whose issuer ignores the target's rate limit."""

QUARANTINE_REJECTION: Final = PermitDecision(target="", is_suspected=True)
"""Rejection of a request that is quarantined while it waits."""


class PermitBroker:
    """Requests permits from the responsible issuer, which may be this instance."""

    def __init__(
        self,
        incarnation: str,
        zone: str,
        on_turnaround: Callable[[str, float], None] | None = None,
        suspend_aware_clock: Callable[[], float] = suspend_aware_now,
        suspects: SuspectTable | None = None,
        *,
        expects_overload: bool = False,
    ) -> None:
        self.reservation_counts = ReservationCounts()
        self._suspend_aware_clock = suspend_aware_clock
        self.rate_reports = RateReports()
        self._zone = zone
        self.issuers: PermitIssuers = NO_ISSUERS
        self._incarnation = incarnation
        self.authority = IssuerAuthority(incarnation)
        self._local_issuer = PermitIssuer(
            self.rate_reports,
            self.authority,
            on_turnaround,
            suspend_aware_clock,
            suspects,
            CompetingCallers(self.reservation_counts) if expects_overload else None,
        )
        self.copies = self._local_issuer.copies
        self.hot_keys = self._local_issuer.hot_keys
        self._links_by_incarnation: dict[str, PeerLink] = {}
        self._request_numbers = count(1)
        self._pending = PendingRequests()

    async def async_request_permit(
        self, query: PermitQuery
    ) -> tuple[PermitDecision, Permit | None] | None:
        """Return the decision and, when granted, the permit.

        Return None if the target no longer owns the key. If the link to the issuer is
        lost before it answers, the next issuer is asked. An issuer that did not know
        the target's rate limit is told, and asked again.
        """
        loop = asyncio.get_running_loop()
        service = query.service
        is_issuer_informed = False
        while True:
            number = next(self._request_numbers)
            asked_at = self._suspend_aware_clock()
            issuer = self._find_issuer(query.target or service, loop.time())
            pending = PendingRequest(
                query=query, future=loop.create_future(), issuer=issuer
            )
            self._pending.add(number, pending)
            try:
                if issuer is None:
                    self._request_locally(query, number, loop.time())
                else:
                    self._request_from_peer(issuer, query, number, loop.time())
                decision = await pending.future
            except BaseException:
                self._release(service, number, issuer, 0.0, failed=False)
                raise
            finally:
                self._pending.remove(number)
            match decision:
                case AbortReason():
                    # The issuer may have granted a permit in the meantime.
                    self._release(service, number, issuer, 0.0, failed=False)
                    match decision:
                        case AbortReason.OUTDATED:
                            return None
                        case AbortReason.QUARANTINED:
                            return QUARANTINE_REJECTION, None
                case PermitDecision(is_granted=False):
                    return decision, None
                case PermitDecision():
                    permit = Permit(
                        number=number,
                        service=service,
                        target=decision.target,
                        is_for_owner=bool(query.target),
                        issuer=issuer,
                        is_rate_limited=decision.is_rate_limited,
                        granted_at=asked_at + decision.waited,
                    )
                    if self.is_valid(permit, self._suspend_aware_clock()):
                        return decision, permit
                    self.release(permit, 0.0, failed=False)
                    if is_issuer_informed:
                        return UNLIMITED_PERMIT_REJECTION, None
                    is_issuer_informed = True

    @callback
    def is_valid(self, permit: Permit, now: float) -> bool:
        """Return whether a permit may still be used, right before the request is sent.

        For a target with a rate limit, a permit is valid for a short time, and only if
        its issuer knew the limit: otherwise too many requests could be sent at once.
        `now` is on the suspend-aware clock.
        """
        if permit.target not in self.rate_reports.limited_targets:
            return True
        valid_until = self.valid_until(permit)
        return valid_until is not None and now <= valid_until

    @callback
    def valid_until(self, permit: Permit) -> float | None:
        """Return the time until which a permit is valid for a limited target.

        Return None if the permit did not take a rate limit into account. The time is on
        the suspend-aware clock.
        """
        if not permit.is_rate_limited:
            return None
        return permit.granted_at + MAX_LIMITED_PERMIT_AGE

    @callback
    def is_issuer(self, permit: Permit) -> bool:
        """Return whether further permits like this one come from the same issuer."""
        subject = permit.target if permit.is_for_owner else permit.service
        now = asyncio.get_running_loop().time()
        return self._find_issuer(subject, now) is permit.issuer

    @callback
    def release(
        self,
        permit: Permit,
        seconds: float,
        *,
        failed: bool,
        abandoned: bool = False,
        is_answered: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Return a permit to its issuer.

        `seconds` is the time that the target took, 0 if it says nothing about the
        target. An `abandoned` request would have taken at least that long. A request
        `is_answered` if the target ran it and answered without a server error. A target
        is `unreachable` if no connection to it could be opened.
        """
        self._release(
            permit.service,
            permit.number,
            permit.issuer,
            seconds,
            failed=failed,
            abandoned=abandoned,
            is_answered=is_answered,
            unreachable=unreachable,
            target=permit.target,
        )

    @callback
    def report_answered(self, permit: Permit, fingerprint: int) -> None:
        """Tell the issuer of a released permit that its request was answered."""
        if permit.issuer is None:
            now = asyncio.get_running_loop().time()
            self.copies.record_answer(fingerprint, permit.target, now)
            return
        answered = pb.RequestAnswered(fingerprint=fingerprint, target=permit.target)
        permit.issuer.send(pb.Item(request_answered=answered))

    @callback
    def handle_request_answered(self, answered: Item) -> None:
        """Record that a request was answered after the release of its permit."""
        now = asyncio.get_running_loop().time()
        self.copies.record_answer(answered.fingerprint, answered.target, now)

    @callback
    def set_targets(
        self,
        service: str,
        targets: list[Target],
        leaving: list[Target],
        cold: ColdTargets = ALL_WARM,
    ) -> None:
        """Update the targets of a service and their slots.

        Targets that are `leaving` only serve requests for keys that they still own.
        """
        self._local_issuer.set_targets(
            service,
            targets,
            leaving,
            asyncio.get_running_loop().time(),
            cold_by_id=cold.by_id(),
        )

    @callback
    def queue_counts(self) -> dict[str, QueueCounts]:
        """Return the counts of requests at the issuer of this instance, by service."""
        return self._local_issuer.queue_counts()

    @callback
    def add_link(self, link: PeerLink) -> None:
        """Add a link whose peer is identified, and send it the known rate limits.

        After a restart, an instance would otherwise learn the limits from targets that
        it has sent too many requests.
        """
        if link.is_outgoing:
            self._links_by_incarnation[link.incarnation] = link
        reports = self.rate_reports.encode_limited(self._suspend_aware_clock())
        if reports is not None:
            link.send(pb.Item(rate_reports=reports))

    @callback
    def handle_rate_reports(self, reports: Item) -> None:
        """Handle the rate limits known to another instance."""
        now = self._suspend_aware_clock()
        for report in reports.reports:
            self.rate_reports.add(
                report.target, decode_rate_report(report, now), now, source="peer"
            )

    @callback
    def remove_link(self, link: PeerLink) -> None:
        """Remove a lost link, abort requests sent over it and release its permits."""
        self._pending.abort_for_link(link)
        if self._links_by_incarnation.get(link.incarnation) is link:
            del self._links_by_incarnation[link.incarnation]
        if not link.is_outgoing:
            self._local_issuer.release_link(link, asyncio.get_running_loop().time())

    @callback
    def handle_owner_change(self, service: str) -> None:
        """Abort pending requests whose target no longer owns the key."""
        self._pending.abort_outdated(service)

    @callback
    def abort_quarantined(self, fingerprint: int) -> None:
        """Abort pending copies of a request that is quarantined."""
        self._pending.abort_quarantined(fingerprint)

    @callback
    def handle_ask(self, link: PeerLink, ask: Item) -> None:
        """Handle a permit request of another instance."""
        self._local_issuer.handle_ask(link, ask, asyncio.get_running_loop().time())

    @callback
    def handle_answer(self, link: PeerLink, answer: Item) -> None:
        """Handle another instance's decision."""
        self.rate_reports.handle_message(
            answer, self._suspend_aware_clock(), source="peer"
        )
        decision = PermitDecision(
            target=answer.target if answer.granted else "",
            retry_after=answer.retry_after,
            is_rate_limited=answer.rate_limited,
            is_suspected=answer.suspected,
            waited=answer.waited,
        )
        self._pending.resolve(answer.id, link, decision)

    @callback
    def handle_end(self, link: PeerLink, end: Item) -> None:
        """Handle the release of another instance's permit."""
        self._local_issuer.handle_end(link, end, asyncio.get_running_loop().time())

    async def async_run(self) -> None:
        """Reject and abort requests that won't be served, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL)
            self.expire(loop.time())

    @callback
    def expire(self, now: float) -> None:
        """Reject and abort requests that won't be served."""
        self._local_issuer.expire(now)
        self._pending.abort_unresponsive(now)

    @callback
    def _request_locally(self, query: PermitQuery, number: int, now: float) -> None:
        """Submit a request to this instance's own issuer."""
        asked_at = self._suspend_aware_clock()

        def on_decision(decision: PermitDecision) -> None:
            waited = self._suspend_aware_clock() - asked_at
            self._pending.resolve(number, None, replace(decision, waited=waited))

        self._local_issuer.submit(
            PermitRequest(
                id=(self._incarnation, number),
                service=query.service,
                target=query.target,
                avoided=query.avoided,
                excluded=query.excluded,
                fingerprint=query.fingerprint,
                zone=self._zone,
                priority=query.priority,
                objective_at=query.objective_at,
                ends_at=query.ends_at,
                caller=query.caller,
                key=query.key,
                on_decision=on_decision,
            ),
            now,
        )

    @callback
    def _request_from_peer(
        self, issuer: PeerLink, query: PermitQuery, number: int, now: float
    ) -> None:
        """Send a request to a peer, with relative times because clocks differ."""
        issuer.send(
            pb.Item(
                ask=pb.PermitAsk(
                    id=number,
                    service=query.service,
                    target=query.target,
                    avoided=query.avoided,
                    excluded=query.excluded,
                    fingerprint=query.fingerprint,
                    zone=self._zone,
                    priority=query.priority,
                    objective_left=query.objective_at - now,
                    time_left=query.ends_at - now,
                    caller=query.caller,
                    key=query.key,
                )
            )
        )

    @callback
    def _release(
        self,
        service: str,
        number: int,
        issuer: PeerLink | None,
        seconds: float,
        *,
        failed: bool,
        abandoned: bool = False,
        is_answered: bool = False,
        unreachable: bool = False,
        target: str = "",
    ) -> None:
        """Release a permit, or withdraw a request that is no longer pending.

        The issuer is told the rate limit of `target`, if it named one.
        """
        if issuer is None:
            self._local_issuer.release(
                service,
                (self._incarnation, number),
                seconds,
                failed=failed,
                abandoned=abandoned,
                is_answered=is_answered,
                unreachable=unreachable,
                now=asyncio.get_running_loop().time(),
            )
            return
        issuer.send(
            pb.Item(
                end=pb.PermitEnd(
                    id=number,
                    service=service,
                    seconds=seconds,
                    failed=failed,
                    cut=abandoned,
                    answered=is_answered,
                    unreachable=unreachable,
                    rate_report=self.rate_reports.encode(
                        target, self._suspend_aware_clock()
                    ),
                )
            )
        )

    @callback
    def _find_issuer(self, subject: str, now: float) -> PeerLink | None:
        """Return the link to the responsible issuer, None if it is this instance.

        If no issuer is reachable, this instance issues the permit itself. If several
        instances do so, a target may receive more requests than it has slots; it queues
        the excess.
        """
        for incarnation in self.issuers.ranked(subject):
            if incarnation == self._incarnation:
                return None
            link = self._links_by_incarnation.get(incarnation)
            if link is not None and link.is_responsive(now):
                return link
        return None

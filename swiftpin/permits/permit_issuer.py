"""Issuing of permits to this and other instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.fleet.link import PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.model.target import Target
from swiftpin.permits.cold_limit import ColdTarget
from swiftpin.permits.competing_callers import CompetingCallers
from swiftpin.permits.copy_tracker import CopyTracker
from swiftpin.permits.hot_key_admission import HotKeyAdmission
from swiftpin.permits.issuer_authority import IssuerAuthority
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest
from swiftpin.permits.queue_counts import QueueCounts
from swiftpin.permits.rate_reports import RateReports
from swiftpin.permits.shared_limits import SharedLimits
from swiftpin.poison.suspect_table import SuspectTable


class PermitIssuer:
    """Keeps a permit queue per service and answers the requests of peers."""

    def __init__(
        self,
        rate_reports: RateReports,
        authority: IssuerAuthority,
        on_turnaround: Callable[[str, float], None] | None = None,
        suspend_aware_clock: Callable[[], float] = suspend_aware_now,
        suspects: SuspectTable | None = None,
        competing_callers: CompetingCallers | None = None,
    ) -> None:
        self.copies = CopyTracker(
            self._submit_to_queue,
            self._try_grant,
            SuspectTable() if suspects is None else suspects,
            suspend_aware_clock,
        )
        self._rate_reports = rate_reports
        self._shared_limits = SharedLimits(rate_reports, authority, suspend_aware_clock)
        self._suspend_aware_clock = suspend_aware_clock
        self._on_turnaround = on_turnaround
        self._competing_callers = competing_callers
        self.hot_keys = HotKeyAdmission()
        self._queues_by_service: dict[str, PermitQueue] = {}

    @callback
    def set_targets(
        self,
        service: str,
        targets: list[Target],
        leaving: list[Target],
        now: float,
        *,
        cold_by_id: Mapping[str, ColdTarget] | None = None,
    ) -> None:
        """Update the targets of a service and their slots."""
        self.hot_keys.set_targets(service, [*targets, *leaving], now)
        self._get_or_create_queue(service).set_targets(
            targets, now, leaving=leaving, cold_by_id=cold_by_id
        )

    @callback
    def submit(self, request: PermitRequest, now: float) -> None:
        """Grant, queue or reject a request."""
        self.copies.submit(request, now)

    @callback
    def _submit_to_queue(self, request: PermitRequest, now: float) -> None:
        """Grant, queue or reject a request whose copies allow it."""
        queue = self._get_or_create_queue(request.service)
        admitted: PermitRequest | None = request
        if self._competing_callers is not None:
            admitted = self._competing_callers.admit(request, queue, now)
        # Capacity is reserved for requests that go before newcomers.
        if admitted is not None and admitted.precedence >= 0:
            withdraw = partial(queue.release, seconds=0.0, failed=False, now=now)
            admitted = self.hot_keys.admit(admitted, withdraw, now)
        if admitted is not None:
            queue.submit(admitted, now)

    @callback
    def _try_grant(
        self, request: PermitRequest, is_allowed: Callable[[str], bool], now: float
    ) -> bool:
        """Grant a permit for an allowed target that is free, or do nothing."""
        queue = self._get_or_create_queue(request.service)
        return queue.try_grant(request, is_allowed, now)

    @callback
    def release(
        self,
        service: str,
        request_id: tuple[str, int],
        seconds: float,
        *,
        failed: bool,
        abandoned: bool,
        now: float,
        is_answered: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Release a permit, or withdraw a queued request."""
        if self._competing_callers is not None:
            self._competing_callers.withdraw(service, request_id, now)
        self.hot_keys.release(request_id, 0.0 if failed or abandoned else seconds)
        self._get_or_create_queue(service).release(
            request_id,
            seconds,
            failed=failed,
            abandoned=abandoned,
            unreachable=unreachable,
            now=now,
        )
        if seconds > 0 and not abandoned:
            self.copies.record_life(request_id)
        self.copies.end(request_id, now, is_answered=is_answered)

    @callback
    def handle_ask(self, link: PeerLink, ask: Item, now: float) -> None:
        """Handle a permit request of another instance."""
        number = ask.id
        asked_at = self._suspend_aware_clock()

        def on_decision(decision: PermitDecision) -> None:
            decided_at = self._suspend_aware_clock()
            link.send(
                pb.Item(
                    answer=pb.PermitAnswer(
                        id=number,
                        granted=decision.is_granted,
                        target=decision.target,
                        retry_after=decision.retry_after,
                        rate_limited=decision.is_rate_limited,
                        suspected=decision.is_suspected,
                        rate_report=self._rate_reports.encode(
                            decision.target or ask.target, decided_at
                        ),
                        waited=decided_at - asked_at,
                    )
                )
            )

        self.submit(
            PermitRequest(
                id=(_requester_id(link), number),
                service=ask.service,
                target=ask.target,
                avoided=ask.avoided,
                excluded=frozenset(ask.excluded),
                fingerprint=ask.fingerprint,
                zone=ask.zone,
                priority=ask.priority,
                objective_at=now + ask.objective_left,
                ends_at=now + ask.time_left,
                caller=ask.caller,
                key=ask.key if ask.HasField("key") else None,
                on_decision=on_decision,
            ),
            now,
        )

    @callback
    def handle_end(self, link: PeerLink, end: Item, now: float) -> None:
        """Handle the release of another instance's permit."""
        self._rate_reports.handle_message(
            end, self._suspend_aware_clock(), source="peer"
        )
        self.release(
            end.service,
            (_requester_id(link), end.id),
            end.seconds,
            failed=end.failed,
            abandoned=end.cut,
            now=now,
            is_answered=end.answered,
            unreachable=end.unreachable,
        )

    @callback
    def release_link(self, link: PeerLink, now: float) -> None:
        """Release all permits and withdraw all requests of a lost link."""
        self.copies.end_all(_requester_id(link), now)
        if self._competing_callers is not None:
            self._competing_callers.withdraw_all(_requester_id(link), now)
        self.hot_keys.release_all(_requester_id(link))
        for queue in self._queues_by_service.values():
            queue.release_all(_requester_id(link), now)

    @callback
    def expire(self, now: float) -> None:
        """Reject queued requests that can no longer be served in time."""
        self.copies.expire(now)
        if self._competing_callers is not None:
            self._competing_callers.expire(now)
        for queue in self._queues_by_service.values():
            queue.expire(now)

    @callback
    def queue_counts(self) -> dict[str, QueueCounts]:
        """Return the counts of requests by service."""
        return {
            service: queue.counts()
            for service, queue in self._queues_by_service.items()
        }

    @callback
    def _get_or_create_queue(self, service: str) -> PermitQueue:
        """Return the permit queue of a service, creating it if needed."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = PermitQueue(
                service, self._on_turnaround, self._shared_limits
            )
        return queue


@callback
def _requester_id(link: PeerLink) -> str:
    """Return the identifier under which the requests of a link are kept.

    It differs for each connection: the permits of a lost link have been released, and a
    delayed release from it must not release a permit of the new link.
    """
    return f"{link.incarnation}/{id(link)}"

"""Permits as the request path of an instance asks for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import count
from typing import Final

from swiftpin.core import callback
from swiftpin.fleet.link import Item, PeerLink
from swiftpin.fleet.proto import fleet_pb2 as pb
from swiftpin.model.target import Target
from swiftpin.permits.permit_decision import PermitDecision
from swiftpin.permits.permit_issuers import NO_ISSUERS, PermitIssuers
from swiftpin.permits.permit_queue import PermitQueue
from swiftpin.permits.permit_request import PermitRequest

EXPIRE_INTERVAL: Final = 0.05
"""Seconds between two looks for requests that won't be served in time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Permit:
    """A permit that was given; it is handed back with `PermitBroker.end`."""

    number: int
    service: str
    target: str
    issuer: PeerLink | None
    """Link to the instance that gave it; None when it was this one."""


@dataclass(kw_only=True, slots=True)
class PendingAsk:
    """A request for a permit that is not answered yet."""

    future: asyncio.Future[PermitDecision | None]
    issuer: PeerLink | None


class PermitBroker:
    """Asks the right instance for permits, and hands out those of this one."""

    def __init__(self, incarnation: str, zone: str) -> None:
        self._zone = zone
        self.issuers: PermitIssuers = NO_ISSUERS
        self._incarnation = incarnation
        self._queues_by_service: dict[str, PermitQueue] = {}
        self._links_by_incarnation: dict[str, PeerLink] = {}
        self._numbers = count(1)
        self._pending_by_number: dict[int, PendingAsk] = {}

    async def async_ask(
        self,
        *,
        service: str,
        target: str,
        avoided: str,
        priority: int,
        objective_at: float,
        ends_at: float,
        now: float,
    ) -> tuple[PermitDecision, Permit | None]:
        """Return the decision and, when granted, the permit.

        An instance whose link breaks before it answers is replaced by the next one.
        """
        loop = asyncio.get_running_loop()
        while True:
            number = next(self._numbers)
            issuer = self._issuer_of(target or service, loop.time())
            future: asyncio.Future[PermitDecision | None] = loop.create_future()
            self._pending_by_number[number] = PendingAsk(future=future, issuer=issuer)
            try:
                if issuer is None:
                    self._ask_self(
                        number,
                        service,
                        target,
                        avoided,
                        priority,
                        objective_at,
                        ends_at,
                    )
                else:
                    now = loop.time()
                    issuer.send(
                        pb.Item(
                            ask=pb.PermitAsk(
                                id=number,
                                service=service,
                                target=target,
                                avoided=avoided,
                                zone=self._zone,
                                priority=priority,
                                objective_left=objective_at - now,
                                time_left=ends_at - now,
                            )
                        )
                    )
                decision = await future
            except BaseException:
                self._end(service, number, issuer, 0.0, failed=False)
                raise
            finally:
                self._pending_by_number.pop(number, None)
            if decision is None:
                self._end(service, number, issuer, 0.0, failed=False)
                continue
            if not decision.is_granted:
                return decision, None
            return decision, Permit(
                number=number, service=service, target=decision.target, issuer=issuer
            )

    @callback
    def end(
        self, permit: Permit, seconds: float, *, failed: bool, cut: bool = False
    ) -> None:
        """Hand a permit back; `seconds` is 0 when it says nothing of the target.

        A request that was given up (`cut`) would have taken at least as long.
        """
        self._end(
            permit.service,
            permit.number,
            permit.issuer,
            seconds,
            failed=failed,
            cut=cut,
        )

    @callback
    def set_targets(
        self, service: str, targets: list[Target], leaving: list[Target]
    ) -> None:
        """Take the targets of a service and their slots.

        Those that are `leaving` serve no more than the keys that they still own.
        """
        now = asyncio.get_running_loop().time()
        self._queue(service).set_targets(targets, now, leaving=leaving)

    @callback
    def note_link(self, link: PeerLink) -> None:
        """Take a link whose other side said who it is."""
        if link.is_outgoing:
            self._links_by_incarnation[link.incarnation] = link

    @callback
    def note_lost(self, link: PeerLink) -> None:
        """Give up on a link that broke, and what its other side held here."""
        for pending in self._pending_by_number.values():
            if pending.issuer is link and not pending.future.done():
                pending.future.set_result(None)
        if self._links_by_incarnation.get(link.incarnation) is link:
            del self._links_by_incarnation[link.incarnation]
        if not link.is_outgoing:
            now = asyncio.get_running_loop().time()
            for queue in self._queues_by_service.values():
                queue.end_all_of(_asker(link), now)

    @callback
    def handle_ask(self, link: PeerLink, ask: Item) -> None:
        """Decide for another instance."""
        now = asyncio.get_running_loop().time()
        number = ask.id

        def decide(decision: PermitDecision) -> None:
            link.send(
                pb.Item(
                    answer=pb.PermitAnswer(
                        id=number,
                        granted=decision.is_granted,
                        target=decision.target,
                        retry_after=decision.retry_after,
                    )
                )
            )

        self._queue(ask.service).ask(
            PermitRequest(
                id=(_asker(link), number),
                service=ask.service,
                target=ask.target,
                avoided=ask.avoided,
                zone=ask.zone,
                priority=ask.priority,
                objective_at=now + ask.objective_left,
                ends_at=now + ask.time_left,
                decide=decide,
            ),
            now,
        )

    @callback
    def handle_answer(self, link: PeerLink, answer: Item) -> None:
        """Take another instance's decision."""
        pending = self._pending_by_number.get(answer.id)
        if pending is None or pending.issuer is not link or pending.future.done():
            return
        pending.future.set_result(
            PermitDecision(
                target=answer.target if answer.granted else "",
                retry_after=answer.retry_after,
            )
        )

    @callback
    def handle_end(self, link: PeerLink, end: Item) -> None:
        """Take another instance's permit back."""
        self._queue(end.service).end(
            (_asker(link), end.id),
            end.seconds,
            failed=end.failed,
            cut=end.cut,
            now=asyncio.get_running_loop().time(),
        )

    async def async_run(self) -> None:
        """Judge again and again who still waits with a chance, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL)
            now = loop.time()
            for queue in self._queues_by_service.values():
                queue.expire(now)
            for pending in self._pending_by_number.values():
                issuer = pending.issuer
                # A issuer that was frozen or cut off answers nothing; waiting for the
                # link's end would take longer than the caller's objective.
                is_stale = issuer is not None and not issuer.is_fresh(now)
                if is_stale and not pending.future.done():
                    pending.future.set_result(None)

    @callback
    def _ask_self(
        self,
        number: int,
        service: str,
        target: str,
        avoided: str,
        priority: int,
        objective_at: float,
        ends_at: float,
    ) -> None:
        """Decide for this instance."""
        future = self._pending_by_number[number].future

        def decide(decision: PermitDecision) -> None:
            if not future.done():
                future.set_result(decision)

        self._queue(service).ask(
            PermitRequest(
                id=(self._incarnation, number),
                service=service,
                target=target,
                avoided=avoided,
                zone=self._zone,
                priority=priority,
                objective_at=objective_at,
                ends_at=ends_at,
                decide=decide,
            ),
            asyncio.get_running_loop().time(),
        )

    @callback
    def _end(
        self,
        service: str,
        number: int,
        issuer: PeerLink | None,
        seconds: float,
        *,
        failed: bool,
        cut: bool = False,
    ) -> None:
        """Hand back a permit, or a question that nobody waits for any more."""
        if issuer is None:
            self._queue(service).end(
                (self._incarnation, number),
                seconds,
                failed=failed,
                cut=cut,
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
                    cut=cut,
                )
            )
        )

    @callback
    def _issuer_of(self, subject: str, now: float) -> PeerLink | None:
        """Return the link to who hands out permits, None for this instance.

        Where none can be reached this instance decides by itself; together with
        others it may then send more than a target has slots, which the target queues.
        """
        for incarnation in self.issuers.ranked(subject):
            if incarnation == self._incarnation:
                return None
            link = self._links_by_incarnation.get(incarnation)
            if link is not None and link.is_fresh(now):
                return link
        return None

    @callback
    def _queue(self, service: str) -> PermitQueue:
        """Return the queue of a service."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = PermitQueue(service)
        return queue


@callback
def _asker(link: PeerLink) -> str:
    """Return the name under which a link's permits are kept.

    A link that was opened again is another one: what the earlier one held has been
    taken back, and a late end must not take back a permit of the new one.
    """
    return f"{link.incarnation}/{id(link)}"

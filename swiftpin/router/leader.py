"""Duties of the lease holder."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.fleet.item import Item
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.fences import Fences
from swiftpin.keyranges.handover_rule import HandoverDecision
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.keyranges.range_assigner import RangeAssigner
from swiftpin.model.configuration import Configuration
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.holder_link_check import HolderLinkCheck

POLL_INTERVAL: Final = 0.1
"""Seconds between two checks whether this instance holds the lease."""


class Leader:
    """Runs an assigner for each keyed service while this instance holds the lease."""

    def __init__(
        self,
        *,
        lease: LeaseElection,
        configuration: ConfigurationHolder,
        make_assigner: Callable[[str, Configuration, Fences], RangeAssigner],
        link_check: HolderLinkCheck,
    ) -> None:
        self._lease = lease
        self._configuration = configuration
        self._make_assigner = make_assigner
        self._link_check = link_check
        self._fences_by_service: dict[str, Fences] = {}
        self._assigners_by_service: dict[str, RangeAssigner] = {}
        self._tasks_by_service: dict[str, asyncio.Task[None]] = {}
        self._term = 0

    async def async_run(self) -> None:
        """Run the assigners whenever the lease is held, until cancelled."""
        try:
            while True:
                now = suspend_aware_now()
                self.update_candidacy()
                if self._lease.is_held(now):
                    self._run_assigners()
                    await self._async_check_links(now)
                else:
                    self._stop_assigners()
                await asyncio.sleep(POLL_INTERVAL)
        finally:
            self._stop_assigners()

    async def _async_check_links(self, now: float) -> None:
        """Hand the lease over if another instance reaches more targets."""
        self._link_check.update(now)
        if self._link_check.decision is HandoverDecision.HAND_OVER:
            log_message(
                message_type="lease_left_to_better_links",
                level="warning",
                term=self._lease.term,
            )
            self._stop_assigners()
            await self._lease.async_hand_over()

    @callback
    def update_candidacy(self) -> None:
        """Become a candidate for the lease as soon as there is a configuration.

        The targets need not be known yet: their grants could expire before they are.
        """
        if self._configuration.current is not None:
            self._lease.note_eligible()

    @callback
    def handle_load_report(self, report: Item) -> None:
        """Pass an instance's load report to the assigners."""
        for load in report.loads:
            assigner = self._assigners_by_service.get(load.service)
            if assigner is not None:
                assigner.load.add(dict(zip(load.keys, load.counts, strict=True)))
        now = suspend_aware_now()
        for times in report.times:
            if times.seconds:
                self._link_check.record_answered(times.target, now)
            assigner = self._assigners_by_service.get(times.service)
            if assigner is None:
                continue
            for seconds in times.seconds:
                assigner.speed.add(times.target, seconds, failed=False)
            for seconds in times.cut_seconds:
                assigner.speed.add_abandoned(times.target, seconds)
            for _ in range(times.failures):
                assigner.speed.add(times.target, 0.0, failed=True)
            if times.backoff:
                assigner.backoffs.add(times.target, times.backoff, now)

    @callback
    def _run_assigners(self) -> None:
        """Start missing assigners, one for each keyed service."""
        if self._term != self._lease.term:
            self._stop_assigners()
            self._term = self._lease.term
        configuration = self._configuration.current
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            task = self._tasks_by_service.get(service.name)
            if not service.is_keyed or (task is not None and not task.done()):
                continue
            if task is not None and not task.cancelled():
                log_message(
                    message_type="assigner_failed",
                    level="error",
                    service=service.name,
                    error=repr(task.exception()),
                )
            fences = self._fences_by_service.setdefault(service.name, Fences())
            assigner = self._make_assigner(service.name, configuration, fences)
            self._assigners_by_service[service.name] = assigner
            self._tasks_by_service[service.name] = asyncio.create_task(
                assigner.async_run()
            )
        self._lease.wants_next_term = any(
            fences.is_nearly_exhausted for fences in self._fences_by_service.values()
        )

    @callback
    def _stop_assigners(self) -> None:
        """Stop all assigners; existing grants stay valid until they expire."""
        for task in self._tasks_by_service.values():
            task.cancel()
        self._tasks_by_service.clear()
        self._assigners_by_service.clear()

"""What this instance does for the groups that it holds, beside granting."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from eliot import log_message

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.backoff import Backoff
from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.dispatch.exceptions import JournalDeposedError
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.exceptions import StoreError
from swiftpin.gateway.run_counter import RunCounter
from swiftpin.gateway.target_loss import TargetLoss
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.ownership.group_id import GroupId

OPEN_BACKOFF: Final = 0.1
OPEN_BACKOFF_CAP: Final = 2.0

JournalFactory = Callable[[GroupId], IdempotencyJournal]


class HeldGroups:
    """Opens and closes the journals and queues of held groups (`GroupListener`).

    `async_prepare` is awaited after a group's journal was opened. `stop_limit` bounds,
    in seconds, how long a planned hand-over waits for requests that are not
    repeatable.
    """

    def __init__(
        self,
        make_journal: JournalFactory,
        queues: TargetQueues,
        rng: Random,
        *,
        async_prepare: Callable[[GroupId], Awaitable[None]],
        stop_limit: float,
    ) -> None:
        self.runs: Final = RunCounter()
        self.losses: Final = TargetLoss()
        self._make_journal = make_journal
        self._queues = queues
        self._backoff = Backoff(OPEN_BACKOFF, OPEN_BACKOFF_CAP, rng)
        self._async_prepare = async_prepare
        self._stop_limit = stop_limit
        self._journals_by_group: dict[GroupId, IdempotencyJournal] = {}
        self._openings_by_group: dict[GroupId, asyncio.Task[None]] = {}
        self._releasing: set[GroupId] = set()
        self._closings: set[asyncio.Task[None]] = set()

    @property
    def journals_by_group(self) -> Mapping[GroupId, IdempotencyJournal]:
        """Return the journals of held groups."""
        return MappingProxyType(self._journals_by_group)

    @callback
    def journal(self, group: GroupId) -> IdempotencyJournal | None:
        """Return the group's journal, None while none may begin under it."""
        if group in self._releasing:
            return None
        return self._journals_by_group.get(group)

    @callback
    def group_acquired(self, group: GroupId, term: int) -> None:
        """Open the group's journal for the term."""
        journal = self._journals_by_group.get(group)
        if journal is None:
            journal = self._make_journal(group)
            self._journals_by_group[group] = journal
        self._releasing.discard(group)
        self._cancel_opening(group)
        self._openings_by_group[group] = asyncio.create_task(
            self._async_open(group, journal, term),
            name=f"journal-open-{group.service}-{group.group}",
        )

    async def async_group_releasing(self, group: GroupId) -> None:
        """Let the runs of the group end, then write their outcomes.

        The next holder can't tell whether a run that is still going on when it seals
        the journal will end, and would answer each resend with "unknown".
        """
        self._releasing.add(group)
        await self.runs.async_wait_idle(group, self._stop_limit)
        self._cancel_opening(group)
        journal = self._journals_by_group.get(group)
        if journal is not None:
            await journal.async_close()

    @callback
    def target_lost(self, group: GroupId, target: str) -> None:
        """End the wait for answers of a target whose slices move."""
        ended = self.losses.target_lost(group.service, target)
        log_message(
            message_type="target_lost",
            service=group.service,
            group=group.group,
            target=target,
            in_flight=ended,
        )

    @callback
    def group_lost(self, group: GroupId) -> None:
        """Stop working for the group."""
        self._queues.close_group(group, CloseReason.LEASE_LOST)
        self._cancel_opening(group)
        self._releasing.discard(group)
        journal = self._journals_by_group.pop(group, None)
        if journal is None:
            return
        task = asyncio.create_task(journal.async_close(), name="journal-close")
        self._closings.add(task)
        task.add_done_callback(self._closings.discard)

    async def async_unload(self) -> None:
        """Close everything."""
        for group in list(self._journals_by_group):
            self.group_lost(group)
        await asyncio.gather(*self._closings, return_exceptions=True)

    async def _async_open(
        self, group: GroupId, journal: IdempotencyJournal, term: int
    ) -> None:
        """Open the journal, again and again while the store is away."""
        attempt = 0
        while True:
            try:
                await journal.async_open(term, monotonic_now())
            except JournalDeposedError as err:
                self._log(group, term, "journal_deposed", str(err))
                return
            except StoreError as err:
                attempt += 1
                self._log(group, term, "journal_open_failed", str(err))
                await asyncio.sleep(self._backoff.delay(attempt))
            else:
                self._log(group, term, "journal_opened", None)
                await self._async_prepare(group)
                return

    @callback
    def _cancel_opening(self, group: GroupId) -> None:
        """Stop an opening under way."""
        task = self._openings_by_group.pop(group, None)
        if task is not None:
            task.cancel()

    @staticmethod
    def _log(group: GroupId, term: int, event: str, error: str | None) -> None:
        """Log a step of a journal's life."""
        log_message(
            message_type=event,
            level="info" if error is None else "warning",
            service=group.service,
            group=group.group,
            term=term,
            error=error,
        )

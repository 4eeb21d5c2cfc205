"""The journal, one conditional write for many records."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Final

from swiftpin.bench.journal_cost.jittered_store import JitteredStore
from swiftpin.core import monotonic_now
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.begin_request import BeginRequest
from swiftpin.dispatch.journal import IdempotencyJournal
from swiftpin.dispatch.journal_settings import JournalSettings
from swiftpin.dispatch.wall_clock import WallClock
from swiftpin.exceptions import RequestError
from swiftpin.ownership.group_id import GroupId

TIMEOUT: Final = 10.0


class GroupCommit:
    """The journal of one group with a least time between writes in seconds."""

    def __init__(self, store: JitteredStore, name: str, min_interval: float) -> None:
        self._journal = IdempotencyJournal(
            store,
            GroupId(service=name, group=0),
            "bench/1",
            replace(JournalSettings(), min_interval=min_interval),
            Random(1),
            is_confirmed=lambda _: True,
            wall=WallClock(offset=0.0),
        )

    async def async_open(self) -> None:
        """Open the journal."""
        await self._journal.async_open(2, monotonic_now())

    async def async_begin(self, key: str) -> bool:
        """Record the request."""
        now = monotonic_now()
        request = BeginRequest(
            key=key,
            fingerprint=f"{key:0>32}",
            request_id=key,
            deadline=now + TIMEOUT,
        )
        try:
            await self._journal.async_begin(request, now)
        except RequestError:
            return False
        return True

    async def async_finish(self, key: str, answer: Answered) -> None:
        """Record the outcome."""
        await self._journal.async_finish(key, answer, monotonic_now())

    async def async_close(self) -> None:
        """Close the journal."""
        await self._journal.async_close()

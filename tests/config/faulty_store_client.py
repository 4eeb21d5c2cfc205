"""Store client that loses chosen writes or their answers."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto

from swiftpin.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.store.client import StoreClient
from swiftpin.store.stored_object import StoredObject


class Fault(Enum):
    """What happens to one write."""

    ANSWER_LOST = auto()
    REQUEST_LOST = auto()
    REQUEST_LATE = auto()
    SENT_TWICE = auto()
    STORE_GONE = auto()


class FaultyStoreClient(StoreClient):
    """A real client; the writes of a name meet the faults queued for that name.

    A late request reaches the store after the next write of the same name.
    `before_put_by_name` holds what a rival does just before such a write, once.
    """

    faults_by_name: defaultdict[str, deque[Fault]]
    before_put_by_name: dict[str, Callable[[], Awaitable[None]]]
    stale_reads: deque[StoredObject]

    def reset_faults(self) -> None:
        """Start without faults."""
        self.faults_by_name = defaultdict(deque)
        self.before_put_by_name = {}
        self.stale_reads = deque()
        self.late_conflicts = 0
        self._late: list[tuple[str, bytes, int | None]] = []
        self._gone = False

    async def async_get(self, name: str) -> StoredObject | None:
        """Return the object, or a state of before while such reads are queued."""
        if self._gone:
            raise StoreUnavailableError("gone")
        if self.stale_reads:
            return self.stale_reads.popleft()
        return await super().async_get(name)

    async def async_put(
        self, name: str, body: bytes, *, expect: int | None = None
    ) -> int:
        """Write with the next fault of the name, if one is queued."""
        rival = self.before_put_by_name.pop(name, None)
        if rival is not None:
            await rival()
        faults = self.faults_by_name[name]
        match faults.popleft() if faults else None:
            case Fault.ANSWER_LOST:
                await super().async_put(name, body, expect=expect)
                raise StoreOutcomeUnknownError("lost")
            case Fault.REQUEST_LOST:
                raise StoreOutcomeUnknownError("lost")
            case Fault.REQUEST_LATE:
                self._late.append((name, body, expect))
                raise StoreOutcomeUnknownError("lost")
            case Fault.SENT_TWICE:
                await super().async_put(name, body, expect=expect)
            case Fault.STORE_GONE:
                await super().async_put(name, body, expect=expect)
                self._gone = True
                raise StoreOutcomeUnknownError("lost")
        version = await super().async_put(name, body, expect=expect)
        await self._async_deliver_late()
        return version

    async def _async_deliver_late(self) -> None:
        """Let the late requests reach the store."""
        late, self._late = self._late, []
        for name, body, expect in late:
            try:
                await super().async_put(name, body, expect=expect)
            except StoreConflictError:
                self.late_conflicts += 1

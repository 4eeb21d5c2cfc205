"""One object and one write for each record."""

from __future__ import annotations

from swiftpin.bench.journal_cost.jittered_store import JitteredStore
from swiftpin.dispatch.answered import Answered
from swiftpin.dispatch.journal_record import JournalRecord
from swiftpin.dispatch.page_codec import encode_record
from swiftpin.exceptions import StoreError
from swiftpin.store.client import ABSENT


class SingleWrites:
    """Records without group commit; writes of different requests run side by side."""

    def __init__(self, store: JitteredStore) -> None:
        self._store = store
        self._versions_by_key: dict[str, int] = {}

    async def async_open(self) -> None:
        """Do nothing."""

    async def async_begin(self, key: str) -> bool:
        """Create the request's object."""
        record = self._record(key, None)
        try:
            version = await self._store.async_put(
                f"single/{key}", encode_record(record), expect=ABSENT
            )
        except StoreError:
            return False
        self._versions_by_key[key] = version
        return True

    async def async_finish(self, key: str, answer: Answered) -> None:
        """Replace the request's object."""
        body = encode_record(self._record(key, answer))
        version = self._versions_by_key.pop(key)
        await self._store.async_put(f"single/{key}", body, expect=version)

    async def async_close(self) -> None:
        """Do nothing."""

    @staticmethod
    def _record(key: str, answer: Answered | None) -> JournalRecord:
        """Return the same record that the journal keeps."""
        return JournalRecord(
            key=key,
            fingerprint=f"{key:0>32}",
            request_id=key,
            changed_at=0,
            outcome=answer,
        )

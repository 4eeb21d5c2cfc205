"""Conditional writes of one group's record, settled by reading back."""

from __future__ import annotations

from swiftpin.exceptions import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import decode_record, encode_record
from swiftpin.ownership.write_result import (
    CheckResult,
    StillOurs,
    WriteBehind,
    WriteDone,
    WriteLost,
    WriteResult,
    WriteUnsettled,
)
from swiftpin.store.client import ABSENT, StoreClient
from swiftpin.store.stored_object import StoredObject


class RecordWriter:
    """Writes one record; `version` is the store's version that it builds on.

    After a takeover without the store the version is None until the store shows the
    record that the takeover built on, whose writer is `base_writer`, or a newer version
    of the same lease, whose term is `base_term`.

    A write whose answer was lost may take effect at any later time. Its record stays
    in `_pending_by_writer`, so that it is recognised as ours when a later write meets
    it; otherwise a holder would take its own write for another's takeover.
    """

    def __init__(
        self,
        store: StoreClient,
        group: GroupId,
        version: int | None,
        *,
        base_writer: str = "",
        base_term: int = -1,
    ) -> None:
        self.version = version
        self._base_term = base_term
        self._base_writer = base_writer
        self._store = store
        self._name = group.store_name
        self._pending_by_writer: dict[str, GroupRecord] = {}

    @property
    def unsettled(self) -> bool:
        """Return whether an earlier write may still take effect."""
        return bool(self._pending_by_writer)

    async def async_write(self, record: GroupRecord) -> WriteResult:
        """Replace the version this writer knows."""
        if self.version is None:
            learnt = await self._async_learn_version()
            if not isinstance(learnt, StillOurs):
                return learnt
        self._pending_by_writer[record.writer] = record
        try:
            version = await self._store.async_put(
                self._name, encode_record(record), expect=self.version
            )
        except (StoreConflictError, StoreOutcomeUnknownError):
            return await self.async_read_back()
        except StoreUnavailableError:
            del self._pending_by_writer[record.writer]
            return WriteUnsettled()
        except StoreError:
            return await self.async_read_back()
        return self._settle(record, version)

    async def async_read_back(self) -> WriteResult:
        """Find out which version is in the store."""
        try:
            stored = await self._store.async_get(self._name)
        except StoreUnavailableError:
            return WriteUnsettled()
        if stored is None or stored.version == self.version:
            return WriteUnsettled()
        return self._judge(stored)

    async def async_check(self) -> CheckResult:
        """Find out whether the store still has the version that this writer knows."""
        if self.version is None:
            return await self._async_learn_version()
        try:
            stored = await self._store.async_get(self._name)
        except StoreUnavailableError:
            return WriteUnsettled()
        present = ABSENT if stored is None else stored.version
        if present == self.version:
            return StillOurs()
        if stored is None:
            return WriteUnsettled()
        return self._judge(stored)

    async def _async_learn_version(
        self,
    ) -> StillOurs | WriteUnsettled | WriteLost | WriteBehind:
        """Find the version to build on after a takeover without the store.

        The holder before us may have written once more than we had heard of. That
        lease ended with our fence, so its last version is built on; to step down
        would leave a group that nobody holds and everybody takes for held.
        """
        try:
            stored = await self._store.async_get(self._name)
        except StoreUnavailableError:
            return WriteUnsettled()
        if stored is None:
            return WriteUnsettled()
        record = decode_record(stored.body)
        if record.writer == self._base_writer:
            self.version = stored.version
            return StillOurs()
        if record.term == self._base_term:
            self.version = stored.version
            return WriteBehind(record=record)
        return WriteLost(record=record)

    def _judge(self, stored: StoredObject) -> WriteResult:
        """Tell our own version from another instance's."""
        record = decode_record(stored.body)
        ours = self._pending_by_writer.get(record.writer)
        if ours is None:
            return WriteLost(record=record)
        return self._settle(ours, stored.version)

    def _settle(self, record: GroupRecord, version: int) -> WriteDone:
        """Note that a version of ours is in the store.

        Writes that built on the same older version cannot take effect any more.
        """
        self.version = version
        self._pending_by_writer.clear()
        return WriteDone(record=record)

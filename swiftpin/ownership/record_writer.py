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
    record that the takeover built on, whose writer is `base_writer`.

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
    ) -> None:
        self.version = version
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
            if learnt is not None:
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

    async def async_is_unchanged(self) -> bool | None:
        """Return whether the store still has our version, None if it is away."""
        if self.version is None:
            learnt = await self._async_learn_version()
            if isinstance(learnt, WriteUnsettled):
                return None
            return learnt is None
        try:
            stored = await self._store.async_get(self._name)
        except StoreUnavailableError:
            return None
        if stored is None:
            return self.version == ABSENT
        if stored.version == self.version:
            return True
        return isinstance(self._judge(stored), WriteDone)

    async def _async_learn_version(self) -> WriteResult | None:
        """Find the version to build on; return what stands in the way, if anything."""
        try:
            stored = await self._store.async_get(self._name)
        except StoreUnavailableError:
            return WriteUnsettled()
        if stored is None:
            return WriteUnsettled()
        record = decode_record(stored.body)
        if record.writer != self._base_writer:
            return WriteLost(record=record)
        self.version = stored.version
        return None

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

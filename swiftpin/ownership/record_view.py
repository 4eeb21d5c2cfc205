"""The newest records of all groups, decoded."""

from __future__ import annotations

from collections.abc import Callable, ValuesView

from swiftpin.const import STORE_PREFIX_GROUPS
from swiftpin.core import callback
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.record_codec import decode_record


class RecordView:
    """Follows the object cache, which never goes back to an older record."""

    def __init__(self, cache: ObjectCache) -> None:
        self._cache = cache
        self._records_by_group: dict[GroupId, GroupRecord] = {}
        self._unsubscribe: Callable[[], None] | None = None

    @callback
    def setup(self) -> None:
        """Take over what is known and follow changes."""
        self._unsubscribe = self._cache.subscribe(STORE_PREFIX_GROUPS, self._adopt)
        for obj in self._cache.by_prefix(STORE_PREFIX_GROUPS).values():
            self._adopt(obj)

    @callback
    def unload(self) -> None:
        """Stop following."""
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None

    @callback
    def get(self, group: GroupId) -> GroupRecord | None:
        """Return the newest known record of a group."""
        return self._records_by_group.get(group)

    @callback
    def values(self) -> ValuesView[GroupRecord]:
        """Return all records."""
        return self._records_by_group.values()

    @callback
    def _adopt(self, obj: CachedObject) -> None:
        """Decode one newer record."""
        record = decode_record(obj.body)
        known = self._records_by_group.get(record.id)
        if known is None or record.is_newer_than(known):
            self._records_by_group[record.id] = record

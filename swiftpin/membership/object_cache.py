"""Newest known version of each store object."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Final

from swiftpin.core import callback
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.digest_table import DigestTable
from swiftpin.membership.stamp import Stamp

_LOGGER: Final = logging.getLogger(__name__)

CacheListener = Callable[[CachedObject], None]
"""Called in the event loop with each version that was adopted."""


class ObjectCache:
    """Objects of the store as far as this instance knows them.

    Everything read, received or written goes through `adopt`, which lets no object
    go back to an earlier version. Objects are retired, never deleted.
    """

    def __init__(self) -> None:
        self._objects_by_name: dict[str, CachedObject] = {}
        self._listeners_by_prefix: dict[str, list[CacheListener]] = {}
        self.digests: Final = DigestTable()
        self.stamp_conflicts = 0
        self.listener_errors = 0

    def __len__(self) -> int:
        return len(self._objects_by_name)

    @callback
    def get(self, name: str) -> CachedObject | None:
        """Return the newest known version, None when there is none."""
        return self._objects_by_name.get(name)

    @callback
    def by_prefix(self, prefix: str) -> dict[str, CachedObject]:
        """Return the objects by name whose names start with the prefix."""
        return {
            name: obj
            for name, obj in self._objects_by_name.items()
            if name.startswith(prefix)
        }

    @callback
    def stamps_in(self, bucket: int) -> dict[str, Stamp]:
        """Return the stamps by name of the objects in a bucket of the digests."""
        return {
            name: self._objects_by_name[name].stamp
            for name in self.digests.names_in(bucket)
        }

    @callback
    def adopt(self, obj: CachedObject) -> bool:
        """Take a version over if it is newer than the known one.

        Returns whether it was. The listeners have been called by then.
        """
        known = self._objects_by_name.get(obj.name)
        if known is not None and obj.stamp <= known.stamp:
            self._note_known(known, obj)
            return False
        self._objects_by_name[obj.name] = obj
        self.digests.replace(obj.name, known.stamp if known else None, obj.stamp)
        self._notify(obj)
        return True

    @callback
    def subscribe(self, prefix: str, listener: CacheListener) -> Callable[[], None]:
        """Call the listener with each version adopted from now on.

        Returns the function that ends this.
        """
        listeners = self._listeners_by_prefix.setdefault(prefix, [])
        listeners.append(listener)

        @callback
        def unsubscribe() -> None:
            """Stop calling the listener."""
            if listener in listeners:
                listeners.remove(listener)

        return unsubscribe

    def _note_known(self, known: CachedObject, obj: CachedObject) -> None:
        """Learn what can be learnt of a version that is not newer."""
        if obj.stamp != known.stamp:
            return
        if obj.body != known.body:
            # Two bodies under one stamp mean that two writers ordered themselves
            # equal; instances would then differ unnoticed, as digests hold stamps.
            self.stamp_conflicts += 1
            _LOGGER.error("event=stamp_conflict name=%s stamp=%s", obj.name, obj.stamp)
            return
        if obj.version > known.version:
            self._objects_by_name[obj.name] = obj

    def _notify(self, obj: CachedObject) -> None:
        """Call the listeners of the object's name."""
        for prefix, listeners in list(self._listeners_by_prefix.items()):
            if not obj.name.startswith(prefix):
                continue
            for listener in list(listeners):
                self._call(listener, obj)

    def _call(self, listener: CacheListener, obj: CachedObject) -> None:
        """Call one listener and contain its error."""
        try:
            listener(obj)
        except Exception:
            # A listener that fails on one object would end the task that brought
            # it, so that this instance would hear no further news; it is logged.
            self.listener_errors += 1
            _LOGGER.exception("event=listener_failed name=%s", obj.name)

"""Objects, revision and history of the stand-in store."""

from __future__ import annotations

from collections import deque
from typing import Final

from swiftpin.core import callback
from swiftpin.standins.store_change import StoreChange
from swiftpin.standins.store_snapshot import StoreSnapshot
from swiftpin.standins.stored_version import StoredVersion
from swiftpin.standins.write_condition import ABSENT, WriteCondition

DEFAULT_HISTORY: Final = 20_000
"""Changes that watches can still learn of."""


class StoreState:
    """Versioned objects; every change raises the one revision by 1."""

    def __init__(self, history: int = DEFAULT_HISTORY) -> None:
        self._versions_by_name: dict[str, StoredVersion] = {}
        self._changes: deque[StoreChange] = deque()
        self._history = history
        self._forgotten = 0
        self.revision = 0

    def version_of(self, name: str) -> int:
        """Return the present version of the object, 0 if it is absent."""
        present = self._versions_by_name.get(name)
        return present.version if present else ABSENT

    @callback
    def put(
        self, name: str, body: bytes, condition: WriteCondition, now: float
    ) -> int | None:
        """Write the object; return its new version, None if the condition fails."""
        if not condition.holds(self.version_of(name)):
            return None
        after = StoredVersion(version=self.revision + 1, body=body)
        self._change(name, after, now)
        return after.version

    @callback
    def delete(self, name: str, condition: WriteCondition, now: float) -> bool:
        """Remove an object that exists; return False if the condition fails."""
        if not condition.holds(self.version_of(name)):
            return False
        self._change(name, None, now)
        return True

    def get(self, name: str, then: float) -> StoredVersion | None:
        """Return the object as it stood at the time `then`."""
        version = self._versions_by_name.get(name)
        for change in reversed(self._changes):
            if change.at <= then:
                break
            if change.name == name:
                version = change.before
        return version

    def snapshot(self, prefix: str, then: float) -> StoreSnapshot:
        """Return the objects under the prefix as they stood at the time `then`."""
        versions_by_name = {
            name: version
            for name, version in self._versions_by_name.items()
            if name.startswith(prefix)
        }
        revision = self.revision
        for change in reversed(self._changes):
            if change.at <= then:
                break
            revision = change.version - 1
            if not change.name.startswith(prefix):
                continue
            if change.before is None:
                del versions_by_name[change.name]
            else:
                versions_by_name[change.name] = change.before
        return StoreSnapshot(revision=revision, versions_by_name=versions_by_name)

    def changes_after(self, prefix: str, after: int) -> list[StoreChange] | None:
        """Return the changes after a revision, oldest first; None if forgotten."""
        if after < self._forgotten or after > self.revision:
            return None
        changes = []
        for change in reversed(self._changes):
            if change.version <= after:
                break
            if change.name.startswith(prefix):
                changes.append(change)
        changes.reverse()
        return changes

    @callback
    def forget_history(self) -> None:
        """Forget all changes, so that watches have to list again."""
        self._forgotten = self.revision
        self._changes.clear()

    @callback
    def _change(self, name: str, after: StoredVersion | None, now: float) -> None:
        """Apply one change and remember it."""
        before = self._versions_by_name.get(name)
        self.revision += 1
        if after is None:
            del self._versions_by_name[name]
        else:
            self._versions_by_name[name] = after
        change = StoreChange(
            name=name, version=self.revision, at=now, before=before, after=after
        )
        self._changes.append(change)
        if len(self._changes) > self._history:
            self._forgotten = self._changes.popleft().version

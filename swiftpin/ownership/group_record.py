"""The record of a group: who holds its lease and which target owns each slice."""

from __future__ import annotations

from dataclasses import dataclass, field

from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.placement.key_exception import KeyException
from swiftpin.ownership.slice_assignment import SliceAssignment


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupRecord:
    """One version of a group's record.

    `term` grows by 2 with each change of holder or successor that the store
    ordered; the odd step in between is reserved for a takeover without the store.
    `revision` grows with each change within a term. `holder` and `successor` are
    instance ids. `writer` is unique to the write, so that a writer whose answer was
    lost recognises its own version when it reads the record back. `exceptions_by_key`
    holds hot keys with a slice of their own, numbered above the declared slices.
    `boots_by_target` names the start of each target that counts under this lease.
    `waits_outage` is set while a third instance that took a cooperative group over
    waits for the outage limit, `starts_changed` while an earlier start of a target,
    which no lease names any more, may still hold slices. `fenced` tells what confirms
    the group's holders; it never changes, since two holders must not go by different
    rules.
    """

    id: GroupId
    term: int
    revision: int
    holder: str
    successor: str | None
    writer: str
    reason: str
    slices_by_id: dict[int, SliceAssignment] = field(default_factory=dict)
    targets: frozenset[str] = frozenset()
    exceptions_by_key: dict[str, KeyException] = field(default_factory=dict)
    boots_by_target: dict[str, str] = field(default_factory=dict)
    waits_outage: bool = False
    starts_changed: bool = False
    fenced: bool = False

    def slice_of_key(self, key: str, home: int) -> int:
        """Return the slice of a key whose hash gives the slice `home`."""
        exception = self.exceptions_by_key.get(key)
        return home if exception is None else exception.slice_id

    def is_newer_than(self, other: GroupRecord) -> bool:
        """Return whether this version comes after the other."""
        return (self.term, self.revision) > (other.term, other.revision)

"""The assignment as its assigner knows it at present."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.segment import Segment


class AssignmentState:
    """Shared by what plans, renews and publishes; all of it runs in one event loop."""

    def __init__(self) -> None:
        self.assignment: Assignment | None = None
        """None until the record was read or made."""

        self.granted_fences: set[int] = set()
        """Recorded fences of segments whose owner has taken their keys."""

    @property
    def present(self) -> Assignment:
        """Return the assignment, once there is one."""
        assert self.assignment is not None
        return self.assignment

    @callback
    def prune_granted_fences(self) -> None:
        """Drop the fences of segments that were cut, joined or moved since."""
        if len(self.granted_fences) > 2 * len(self.present.segments):
            self.granted_fences &= self.present.fences()

    @callback
    def owners(self) -> set[str]:
        """Return the targets that own keys."""
        return {
            segment.owner for segment in self.present.segments if not segment.former
        }

    @callback
    def involved_targets(self) -> set[str]:
        """Return the targets that own keys, or are to get or give some."""
        segments = self.present.segments
        involved = {segment.owner for segment in segments}
        return (involved | {segment.former for segment in segments}) - {""}

    @callback
    def stands(self, segment: Segment) -> bool:
        """Return whether a segment is still as it was when renewals began.

        One that was cut, joined or given away meanwhile must not be granted again.
        """
        return self.present.segment_of(segment.first) == segment

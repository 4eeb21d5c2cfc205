"""The current assignment of a service's keys."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.keyranges.assignment import Assignment
from swiftpin.keyranges.segment import Segment


class AssignmentState:
    """State shared by planning, renewal and publication, all in one event loop."""

    def __init__(self) -> None:
        self.assignment: Assignment | None = None
        """None until the record has been read or created."""

        self.granted_fences: set[int] = set()
        """Recorded fences of segments whose owner has accepted a grant."""

    @property
    def current(self) -> Assignment:
        """Return the assignment; requires that it has been loaded."""
        assert self.assignment is not None
        return self.assignment

    @callback
    def prune_granted_fences(self) -> None:
        """Remove the fences of segments that no longer exist.

        Segments disappear when they are split, merged or moved.
        """
        if len(self.granted_fences) > 2 * len(self.current.segments):
            self.granted_fences &= self.current.fences()

    @callback
    def owners(self) -> set[str]:
        """Return the targets that own keys."""
        return {
            segment.owner
            for segment in self.current.segments
            if not segment.former_owner
        }

    @callback
    def involved_targets(self) -> set[str]:
        """Return the targets that own keys, including both sides of each move."""
        segments = self.current.segments
        involved = {segment.owner for segment in segments}
        return (involved | {segment.former_owner for segment in segments}) - {""}

    @callback
    def is_unchanged(self, segment: Segment) -> bool:
        """Return whether a segment is still part of the assignment.

        One that has been split, merged or moved since must not be granted again.
        """
        return self.current.segment_of(segment.first) == segment

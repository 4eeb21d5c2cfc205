"""The record of a service's assignment in the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import os
from typing import Any, Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import StoreConflictError, StoreError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.assignment import (
    Assignment,
    decode_assignment,
    encode_assignment,
)
from swiftpin.keyranges.const import KIND_ASSIGNMENT
from swiftpin.platform.store_client import StoreClient
from swiftpin.store_errors import ObjectMissingError

ATTR_WRITER: Final = "writer"
"""Field with the id of the assigner that wrote the record last."""

ATTR_ERA: Final = "era"
"""Field with the store era in which the record was written."""

ATTR_COMPLETE_ERA: Final = "complete_era"
"""Field with the newest store era in which the record is known to contain the holders
of all grants. A record from before a restore may lack later moves."""


class AssignmentRecord:
    """Reads and replaces the record of a service's assignment.

    The store may apply a write seconds after the caller gave up on it, if the record is
    still at the expected revision. So a new assigner writes the record before it acts
    on it: this changes the revision, and no pending write of an earlier assigner can
    take effect any more.

    An assigner records a move before it grants the keys. So a record contains the
    holders of all grants, unless the store was restored since. Only an assigner that
    knows all grants marks its record as complete in the current era.
    """

    def __init__(self, service: str, client: StoreClient, health: StoreHealth) -> None:
        self.revision: int | None = None
        self.complete_era = 0
        """Newest era in which the record that was last read or written is complete."""

        self.is_complete = False
        """Whether this assigner knows the holders of all grants."""

        self._service = service
        self._client = client
        self._health = health
        self._writer = os.urandom(4).hex()
        self._is_missing = False
        """Whether the record is missing because the store was restored."""

    async def async_take_over(self, allocate_fence: Callable[[], int]) -> Assignment:
        """Write the record as this assigner's own and return its assignment.

        Unfinished moves get new fences: an earlier assigner may have granted their keys
        under unrecorded fences that are higher than the move's. Raises
        `ObjectMissingError` if there is no record, and `StoreError` if it is unknown
        whether the record was written. Calling this again is safe in that case.
        """
        stored_object = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        recorded = decode_assignment(stored_object.content)
        self.complete_era = _read_era(stored_object.content, ATTR_COMPLETE_ERA)
        self.is_complete = not self._was_restored_since(self.complete_era)
        segments = tuple(
            replace(segment, fence=allocate_fence())
            if segment.former_owner
            else segment
            for segment in recorded.segments
        )
        assignment = replace(recorded, segments=segments)
        self.revision = await self._client.async_replace(
            KIND_ASSIGNMENT,
            self._service,
            self._encode(assignment),
            stored_object.revision,
        )
        return assignment

    async def async_create(self, assignment: Assignment) -> None:
        """Create a complete record."""
        self.is_complete = True
        content = self._encode(assignment)
        self.revision = await self._client.async_create(
            KIND_ASSIGNMENT, self._service, content
        )
        self.complete_era = content[ATTR_COMPLETE_ERA]

    @callback
    def must_be_repeated(self) -> bool:
        """Return whether a restore may have undone the last write of the record."""
        return self._was_restored_since(self.complete_era)

    @callback
    def mark_complete(self) -> None:
        """Note that this assigner knows the holders of all grants from now on."""
        self.is_complete = True

    async def async_replace(self, assignment: Assignment) -> bool:
        """Write an assignment; return True only if it was confirmed as written."""
        content = self._encode(assignment)
        is_written = await self._async_replace(content)
        if is_written:
            self.complete_era = content[ATTR_COMPLETE_ERA]
        return is_written

    async def _async_replace(self, content: dict[str, Any]) -> bool:
        """Write the content; return True only if it was confirmed as written."""
        try:
            await self._async_write(content)
        except StoreConflictError as err:
            # Either another instance assigns keys now, or an earlier write of this
            # assigner, whose answer was lost, was applied late.
            return await self._async_read_back(content, str(err))
        except StoreError as err:
            self._health.record_failure(str(err), suspend_aware_now())
            return await self._async_read_back(content, str(err))
        self._health.record_answer(suspend_aware_now())
        return True

    async def _async_write(self, content: dict[str, Any]) -> None:
        """Replace the record, or create it if a restored store lost it."""
        if self._is_missing:
            self.revision = await self._client.async_create(
                KIND_ASSIGNMENT, self._service, content
            )
            self._is_missing = False
            return
        self.revision = await self._client.async_replace(
            KIND_ASSIGNMENT, self._service, content, self.revision
        )

    async def _async_read_back(self, content: dict[str, object], reason: str) -> bool:
        """Read the record back; return whether it has the written content."""
        try:
            stored_object = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        except ObjectMissingError:
            stored_object = None
            self._is_missing = self._client.era.was_restored
        except StoreError as err:
            reason = f"{reason}; {err}"
            stored_object = None
        is_written = stored_object is not None and stored_object.content == content
        log_message(
            message_type="assignment_unsettled",
            level="warning",
            service=self._service,
            reason=reason,
            stands=is_written,
        )
        if stored_object is not None and self._is_replaceable(stored_object.content):
            self.revision = stored_object.revision
        return is_written

    def _encode(self, assignment: Assignment) -> dict[str, Any]:
        """Return the content of the record."""
        era = self._client.era.newest
        return encode_assignment(assignment) | {
            ATTR_WRITER: self._writer,
            ATTR_ERA: era,
            ATTR_COMPLETE_ERA: era if self.is_complete else self.complete_era,
        }

    @callback
    def _was_restored_since(self, era: int) -> bool:
        """Return whether the store was restored after an era."""
        return era < self._client.era.newest

    def _is_replaceable(self, content: object) -> bool:
        """Return whether a record is this assigner's, or from before a restore.

        The assigner runs only while its instance holds the lease, which no other
        instance acquires soon after a restore. Any other record belongs to a later
        holder.
        """
        if not isinstance(content, dict):
            return False
        if content.get(ATTR_WRITER) == self._writer:
            return True
        return self._was_restored_since(_read_era(content, ATTR_ERA))


def _read_era(content: object, field: str) -> int:
    """Return the era in a field of a record, 0 if the record does not tell."""
    era = content.get(field, 0) if isinstance(content, dict) else 0
    return era if isinstance(era, int) else 0

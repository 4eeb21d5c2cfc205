"""The record of a service's assignment in the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import os
from typing import Any, Final

from eliot import log_message

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
"""Field that names the assigner that wrote the record last."""

ATTR_ERA: Final = "era"
"""Field with the era of the store in which it was written."""


class AssignmentRecord:
    """Takes the record over, and replaces it if it is still the one last seen.

    The store may carry a write out seconds after it was given up, if the record is then
    still at the revision that the write was made for. So whoever assigns keys from now
    on writes the record before it acts on it: no plan of an earlier assigner can take
    effect any more, and what is carried out is what stands.
    """

    def __init__(self, service: str, client: StoreClient, health: StoreHealth) -> None:
        self.revision: int | None = None
        self._service = service
        self._client = client
        self._health = health
        self._writer = os.urandom(4).hex()
        self._is_missing = False
        """Whether a restored store lacks the record."""

    async def async_take_over(self, allocate_fence: Callable[[], int]) -> Assignment:
        """Return the assignment once the record is this assigner's.

        Moves that are under way get new fences: an earlier assigner may have given the
        keys out under fences that are in no record and above the move's. Raises
        `ObjectMissingError` when there is no record, `StoreError` when it is not known
        to be this assigner's; it may be so later, and can be taken over again.
        """
        found = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        recorded = decode_assignment(found.content)
        segments = tuple(
            replace(segment, fence=allocate_fence()) if segment.former else segment
            for segment in recorded.segments
        )
        assignment = replace(recorded, segments=segments)
        self.revision = await self._client.async_replace(
            KIND_ASSIGNMENT, self._service, self._encode(assignment), found.revision
        )
        return assignment

    async def async_create(self, assignment: Assignment) -> None:
        """Write the first assignment."""
        self.revision = await self._client.async_create(
            KIND_ASSIGNMENT, self._service, self._encode(assignment)
        )

    async def async_replace(self, assignment: Assignment) -> bool:
        """Write an assignment; return whether it certainly stands."""
        content = self._encode(assignment)
        try:
            await self._async_write(content)
        except StoreConflictError as err:
            # Either another instance assigns keys by now, or this is the late effect
            # of a write of this one whose answer was lost.
            return await self._async_read_back(content, str(err))
        except StoreError as err:
            self._health.note_failure(str(err), suspend_aware_now())
            return await self._async_read_back(content, str(err))
        self._health.note_answer(suspend_aware_now())
        return True

    async def _async_write(self, content: dict[str, Any]) -> None:
        """Write the record, which a restored store may lack."""
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
        """Read back whether a write stands."""
        try:
            found = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        except ObjectMissingError:
            found = None
            self._is_missing = self._client.era.was_restored
        except StoreError as err:
            reason = f"{reason}; {err}"
            found = None
        is_written = found is not None and found.content == content
        log_message(
            message_type="assignment_unsettled",
            level="warning",
            service=self._service,
            reason=reason,
            stands=is_written,
        )
        if found is not None and self._is_replaceable(found.content):
            self.revision = found.revision
        return is_written

    def _encode(self, assignment: Assignment) -> dict[str, Any]:
        """Return the content to store."""
        return encode_assignment(assignment) | {
            ATTR_WRITER: self._writer,
            ATTR_ERA: self._client.era.newest,
        }

    def _is_replaceable(self, content: object) -> bool:
        """Return whether a record is this assigner's, or of before a restore.

        The assigner runs only while its instance holds the lease, and nobody takes that
        over soon after a restore. Any other record is of a later holder.
        """
        if not isinstance(content, dict):
            return False
        if content.get(ATTR_WRITER) == self._writer:
            return True
        era = content.get(ATTR_ERA, 0)
        return isinstance(era, int) and era < self._client.era.newest

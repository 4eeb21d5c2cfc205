"""The record of a service's assignment in the store."""

from __future__ import annotations

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


class AssignmentRecord:
    """Reads the record and replaces it, if it is still the one last seen."""

    def __init__(self, service: str, client: StoreClient, health: StoreHealth) -> None:
        self.revision: int | None = None
        self._service = service
        self._client = client
        self._health = health

    async def async_read(self) -> Assignment:
        """Return the assignment; raise `ObjectMissingError` when there is none."""
        found = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        assignment = decode_assignment(found.content)
        self.revision = found.revision
        return assignment

    async def async_create(self, assignment: Assignment) -> None:
        """Write the first assignment."""
        self.revision = await self._client.async_create(
            KIND_ASSIGNMENT, self._service, encode_assignment(assignment)
        )

    async def async_replace(self, assignment: Assignment) -> bool:
        """Write an assignment; return whether it certainly stands."""
        content = encode_assignment(assignment)
        try:
            self.revision = await self._client.async_replace(
                KIND_ASSIGNMENT, self._service, content, self.revision
            )
        except StoreConflictError as err:
            # Either another instance assigns keys by now, or this is the late effect
            # of a write of this one whose answer was lost.
            return await self._async_settle(content, str(err))
        except StoreError as err:
            self._health.note_failure(str(err), suspend_aware_now())
            return await self._async_settle(content, str(err))
        self._health.note_answer(suspend_aware_now())
        return True

    async def _async_settle(self, content: dict[str, object], reason: str) -> bool:
        """Read back whether a write stands."""
        try:
            found = await self._client.async_get(KIND_ASSIGNMENT, self._service)
        except StoreError as err:
            reason = f"{reason}; {err}"
            found = None
        stands = found is not None and found.content == content
        log_message(
            message_type="assignment_unsettled",
            level="warning",
            service=self._service,
            reason=reason,
            stands=stands,
        )
        if found is not None:
            self.revision = found.revision
        return stands

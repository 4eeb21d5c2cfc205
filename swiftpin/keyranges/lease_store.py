"""Reading and writing of the lease's record in the store."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.exceptions import (
    ConfigurationError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.const import KIND_LEASE, LEASE_CALL_TIMEOUT, NAME_LEASE
from swiftpin.keyranges.lease_record import LeaseRecord, decode_lease, encode_lease
from swiftpin.platform.store_client import StoreClient
from swiftpin.store_errors import ObjectMissingError


class LeaseWriteOutcome(Enum):
    """The outcome of a write."""

    WRITTEN = auto()
    UNKNOWN = auto()
    """The write may have been applied, may be applied later, or not at all."""

    HELD_BY_OTHER = auto()
    """The store has the record of another holder."""


class LeaseStore:
    """Reads the record, and replaces it if it still has the last known revision."""

    def __init__(
        self,
        client: StoreClient,
        health: StoreHealth,
        on_record: Callable[[LeaseRecord], None],
    ) -> None:
        self.record: LeaseRecord | None = None
        """The last known record, of any holder."""

        self.unchanged_since = 0.0
        """Time since which the record is known to be unchanged."""

        self.attempted_members: tuple[str, ...] = ()
        """Members in the last attempted write, whether or not it was applied."""

        self._client = client
        self._health = health
        self._on_record = on_record
        self._revision: int | None = None
        self._era_without_record: int | None = None
        """Last era in which no record was found."""

        self._attempt = (0, 0)
        """Term and renewal of the last attempted write."""

        self._attempted_at = 0.0
        """Time since which that write may have been applied."""

    @property
    def era(self) -> int:
        """Return the newest store era reported in an answer."""
        return self._client.era.newest

    @property
    def was_restored(self) -> bool:
        """Return whether the store was restored since this instance started."""
        return self._client.era.was_restored

    async def async_read(self) -> None:
        """Read the lease and note whether it changed; raise `StoreError`."""
        requested_at = suspend_aware_now()
        try:
            stored_object = await self._client.async_get(
                KIND_LEASE, NAME_LEASE, limit=LEASE_CALL_TIMEOUT
            )
        except ObjectMissingError:
            now = suspend_aware_now()
            self._health.record_answer(now)
            if self._era_without_record != self.era:
                self._era_without_record = self.era
                self.unchanged_since = now
            self.record = None
            self._revision = None
            return
        now = suspend_aware_now()
        self._health.record_answer(now)
        try:
            record = decode_lease(stored_object.content)
        except ConfigurationError as err:
            raise StoreUnavailableError(str(err)) from err
        if stored_object.revision != self._revision:
            self._revision = stored_object.revision
            self.unchanged_since = now
            self._note_record(record)
        else:
            # No attempt had been applied when this read was sent.
            self._attempted_at = max(self._attempted_at, requested_at)

    async def async_write(self, record: LeaseRecord) -> LeaseWriteOutcome:
        """Write a record that names this instance as the holder."""
        sent_at = suspend_aware_now()
        if self._attempt != (record.term, record.renewal):
            self._attempt = (record.term, record.renewal)
            self._attempted_at = sent_at
        self.attempted_members = record.members
        try:
            revision = await self._async_put(record)
        except StoreConflictError as err:
            return await self._async_read_back(record, str(err))
        except StoreOutcomeUnknownError as err:
            self._health.record_failure(str(err), suspend_aware_now())
            return await self._async_read_back(record, str(err))
        except StoreError as err:
            self._health.record_failure(str(err), suspend_aware_now())
            return LeaseWriteOutcome.UNKNOWN
        self._revision = revision
        self._note_written(record, sent_at)
        return LeaseWriteOutcome.WRITTEN

    async def async_write_final(self, record: LeaseRecord) -> None:
        """Write this instance's final record; raise `StoreError` if that fails."""
        await self._client.async_replace(
            KIND_LEASE, NAME_LEASE, encode_lease(record), self._revision
        )

    async def _async_put(self, record: LeaseRecord) -> int:
        """Create or replace the record; return its revision."""
        content = encode_lease(record)
        if self._revision is None:
            return await self._client.async_create(
                KIND_LEASE, NAME_LEASE, content, limit=LEASE_CALL_TIMEOUT
            )
        return await self._client.async_replace(
            KIND_LEASE, NAME_LEASE, content, self._revision, limit=LEASE_CALL_TIMEOUT
        )

    async def _async_read_back(
        self, record: LeaseRecord, reason: str
    ) -> LeaseWriteOutcome:
        """Read the record back after a lost answer or a conflict.

        If the answer to a write was lost, the next attempt may conflict with its
        effect; only the record itself shows whether it did. The record may result from
        the first of several equal attempts, and candidates may measure the lease's age
        from then. So its duration is counted from the first attempt.
        """
        log_message(message_type="lease_unsettled", reason=reason, term=record.term)
        try:
            await self.async_read()
        except StoreError as err:
            self._health.record_failure(str(err), suspend_aware_now())
            return LeaseWriteOutcome.UNKNOWN
        stored_record = self.record
        is_restored_copy = (
            self.was_restored if stored_record is None else stored_record.era < self.era
        )
        if is_restored_copy:
            # The restored store may have lost this instance's record. No other instance
            # acquires the lease while it is valid: after a restore, all wait until
            # every lease that the store may have lost has expired.
            return LeaseWriteOutcome.UNKNOWN
        if (
            stored_record is None
            or stored_record.holder != record.holder
            or stored_record.term > record.term
        ):
            return LeaseWriteOutcome.HELD_BY_OTHER
        if (stored_record.term, stored_record.renewal) != (record.term, record.renewal):
            return LeaseWriteOutcome.UNKNOWN
        self._note_written(record, self._attempted_at)
        return LeaseWriteOutcome.WRITTEN

    @callback
    def _note_record(self, record: LeaseRecord) -> None:
        """Update the last known record after a read or a write."""
        previous = self.record
        self.record = record
        if previous is None or (previous.holder, previous.term) != (
            record.holder,
            record.term,
        ):
            log_message(
                message_type="lease_seen",
                holder=record.holder,
                term=record.term,
                revision=self._revision,
            )
        self._on_record(record)

    @callback
    def _note_written(self, record: LeaseRecord, sent_at: float) -> None:
        """Note that a record of this instance was written."""
        self._health.record_answer(suspend_aware_now())
        self._note_record(record)
        self.unchanged_since = sent_at

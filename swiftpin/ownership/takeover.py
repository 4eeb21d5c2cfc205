"""Creating, resuming and taking over the lease of a group."""

from __future__ import annotations

from dataclasses import replace
import math
from typing import Final

from swiftpin.config.service import Service
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import StoreError, StoreUnavailableError
from swiftpin.ownership.group_holder import GroupHolder
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.lease_start import LeaseStart
from swiftpin.ownership.ownership_decision import OwnershipDecision
from swiftpin.ownership.placement.initial import initial_assignment
from swiftpin.ownership.predecessor import Predecessor
from swiftpin.ownership.record_changes import new_writer, with_lease
from swiftpin.ownership.record_codec import decode_record
from swiftpin.ownership.record_writer import RecordWriter
from swiftpin.ownership.rules import (
    is_fenced_group,
    may_use_reserved_term,
    reserved_term,
)
from swiftpin.ownership.target_divisions import TargetDivisions
from swiftpin.ownership.write_result import WriteDone, WriteLost
from swiftpin.store.client import ABSENT

FIRST_TERM: Final = 2


class Takeover:
    """Makes this instance the holder of a group, by the store or the reserved term."""

    def __init__(self, env: HolderEnvironment) -> None:
        self._env = env
        self._divisions = TargetDivisions()
        self._acted_terms_by_group: dict[GroupId, int] = {}
        self._attempted_terms_by_group: dict[GroupId, int] = {}

    @callback
    def targets_of(self, service: Service, group: GroupId) -> frozenset[str]:
        """Return the targets that the declaration gives the group."""
        return self._divisions.targets_of(service, group)

    async def async_create(
        self, service: Service, group: GroupId
    ) -> GroupHolder | None:
        """Write the first record of a group; None when another instance did."""
        targets = self.targets_of(service, group)
        if not targets:
            return None
        sent_at = monotonic_now()
        record = self._first_record(service, group, targets)
        writer = RecordWriter(self._env.store, group, ABSENT)
        result = await writer.async_write(record)
        if isinstance(result, WriteLost):
            self._env.publish(result.record)
            return None
        if not isinstance(result, WriteDone):
            return None
        self._assigned(record, "created")
        return self._holder(service, record, writer.version, None, sent_at)

    async def async_resume(self, group: GroupId) -> GroupHolder | None:
        """Hold a group whose stored record names this instance; None if none does."""
        service = self._env.service_of(group.service)
        sent_at = monotonic_now()
        try:
            stored = await self._env.store.async_get(group.store_name)
        except StoreUnavailableError:
            return None
        if stored is None or service is None:
            return None
        record = decode_record(stored.body)
        if record.holder != self._env.instance_id:
            return None
        writer = RecordWriter(self._env.store, group, stored.version)
        fresh = await self._async_fresh_term(record, writer)
        if fresh is None:
            return None
        predecessor = self._predecessor(fresh, third_party=False)
        return self._holder(service, fresh, writer.version, predecessor, sent_at)

    @callback
    def acknowledges(self, record: GroupRecord) -> bool:
        """Return whether this instance may still confirm the record's holder.

        A takeover whose answer was lost may have taken effect; whoever comes after us
        counts on our silence from its send on.
        """
        attempted = self._attempted_terms_by_group.get(record.id, -1)
        return record.term > attempted

    async def _async_fresh_term(
        self, record: GroupRecord, writer: RecordWriter
    ) -> GroupRecord | None:
        """Return the record under a term in which this process has not acted yet.

        A holder that gave up and resumes does not know what it sent before; a late
        grant of its own could arrive under the same term.
        """
        if record.term > self._acted_terms_by_group.get(record.id, -1):
            return record
        renewed = with_lease(
            record,
            holder=self._env.instance_id,
            successor=self._env.successor_for(record.id),
            writer=new_writer(self._env.instance_id),
            reason="resumed",
        )
        result = await writer.async_write(renewed)
        if not isinstance(result, WriteDone):
            return None
        self._assigned(renewed, "resumed")
        return renewed

    async def async_take_over(
        self, known: GroupRecord, *, last_heard: float, third_party: bool
    ) -> GroupHolder | None:
        """Take the lease over from a holder that seems lost."""
        service = self._env.service_of(known.id.service)
        if service is None:
            return None
        try:
            return await self._async_by_store(service, known, third_party)
        except StoreError:
            if third_party:
                return None
            return self._by_reserved_term(service, known, last_heard)

    async def _async_by_store(
        self, service: Service, known: GroupRecord, third_party: bool
    ) -> GroupHolder | None:
        """Write the record under the next term; raise when the store is away."""
        sent_at = monotonic_now()
        stored = await self._env.store.async_get(known.id.store_name)
        if stored is None:
            return None
        current = decode_record(stored.body)
        if current.is_newer_than(known):
            self._env.publish(current)
            return None
        writer = RecordWriter(self._env.store, known.id, stored.version)
        record = with_lease(
            replace(current, term=max(current.term, known.term)),
            holder=self._env.instance_id,
            successor=self._env.successor_for(known.id),
            writer=new_writer(self._env.instance_id),
            reason=f"{known.holder} is silent",
        )
        if not known.fenced:
            self._attempted_terms_by_group[known.id] = known.term
            record = replace(record, waits_outage=third_party or record.waits_outage)
        match await writer.async_write(record):
            case WriteDone():
                self._assigned(record, "took over")
                predecessor = self._predecessor(record, third_party=third_party)
                return self._holder(
                    service, record, writer.version, predecessor, sent_at
                )
            case WriteLost(record=other):
                self._env.publish(other)
                return None
            case _:
                raise StoreUnavailableError("the takeover could not be settled")

    @callback
    def _by_reserved_term(
        self, service: Service, known: GroupRecord, last_heard: float
    ) -> GroupHolder | None:
        """Take over without the store, as the successor of a recent holder."""
        now = monotonic_now()
        if not known.fenced or known.term % 2:
            return None
        if not may_use_reserved_term(last_heard, self._env.timing, now):
            return None
        record = replace(
            known,
            term=reserved_term(known.term),
            revision=0,
            holder=self._env.instance_id,
            successor=None,
            writer=new_writer(self._env.instance_id),
            reason=f"{known.holder} is silent and the store is away",
        )
        self._decide(record, "took over without the store")
        predecessor = self._predecessor(record, third_party=False)
        return self._holder(
            service, record, None, predecessor, now, base_writer=known.writer
        )

    @callback
    def _first_record(
        self, service: Service, group: GroupId, targets: frozenset[str]
    ) -> GroupRecord:
        """Return the record of a group that nobody held before."""
        targets_by_id = {name: service.targets_by_id[name] for name in sorted(targets)}
        return GroupRecord(
            id=group,
            term=FIRST_TERM,
            revision=0,
            holder=self._env.instance_id,
            successor=self._env.successor_for(group),
            writer=new_writer(self._env.instance_id),
            reason="created",
            targets=targets,
            fenced=is_fenced_group(len(targets), checks_grants=service.checks_grants),
            slices_by_id=initial_assignment(
                group, service.slices, service.groups, targets_by_id
            ),
        )

    @callback
    def _predecessor(self, record: GroupRecord, *, third_party: bool) -> Predecessor:
        """Return what must be waited out before unreported slices are served."""
        timing = self._env.timing
        if record.fenced:
            return Predecessor(disabled_at=math.inf, patience=timing.holder_limit)
        waits_outage = third_party or record.waits_outage
        patience = timing.outage_limit if waits_outage else timing.holder_limit
        return Predecessor(disabled_at=monotonic_now(), patience=patience)

    @callback
    def _holder(
        self,
        service: Service,
        record: GroupRecord,
        version: int | None,
        predecessor: Predecessor | None,
        store_read_at: float,
        base_writer: str = "",
    ) -> GroupHolder:
        """Return a holder that is ready to start."""
        self._acted_terms_by_group[record.id] = record.term
        start = LeaseStart(
            record=record,
            version=version,
            base_writer=base_writer,
            fenced_group=record.fenced,
            checks_grants=service.checks_grants,
            predecessor=predecessor,
            store_read_at=store_read_at,
        )
        return GroupHolder(self._env, start)

    @callback
    def _assigned(self, record: GroupRecord, event: str) -> None:
        """Report a lease that the store acknowledged."""
        self._env.events.assigned(record, monotonic_now())
        self._decide(record, event)

    @callback
    def _decide(self, record: GroupRecord, event: str) -> None:
        """Report a decision about the lease."""
        self._env.events.decided(
            OwnershipDecision(
                event=event.replace(" ", "_"),
                group=record.id,
                term=record.term,
                reason=record.reason,
            )
        )

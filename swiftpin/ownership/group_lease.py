"""The lease of one group: what confirms it, its record and the writes of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
import math
from typing import Final

from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import TargetFencedError
from swiftpin.ownership.cooperative_confirmation import CooperativeConfirmation
from swiftpin.ownership.group_id import GroupId
from swiftpin.ownership.group_record import GroupRecord
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.lease_start import LeaseStart
from swiftpin.ownership.majority_confirmation import MajorityConfirmation
from swiftpin.ownership.ownership_decision import OwnershipDecision
from swiftpin.ownership.predecessor import Predecessor
from swiftpin.ownership.record_changes import (
    new_writer,
    with_lease,
    with_newer_slices,
)
from swiftpin.ownership.record_writer import RecordWriter
from swiftpin.ownership.rules import (
    Confirmation,
    confirmed_since,
    confirmed_until,
    predecessor_end,
)
from swiftpin.ownership.write_outcome import WriteOutcome
from swiftpin.ownership.write_result import (
    StillOurs,
    WriteBehind,
    WriteDone,
    WriteLost,
    WriteUnsettled,
)

STORE_RETRY: Final = 1.0
"""Seconds after a failed store call in which no other is made without need."""

SUCCESSOR_PATIENCE: Final = 2.0
"""Seconds without an acknowledged heartbeat after which a successor is replaced."""


class GroupLease:
    """The lease that this instance holds, and when it may act on it.

    `record` is the version that the holder acts on; `stopped` is set once it gave the
    lease up. `on_term` is called after the holder's own term grew.
    """

    def __init__(
        self,
        env: HolderEnvironment,
        start: LeaseStart,
        *,
        links: HolderLinks,
        on_term: Callable[[], None],
    ) -> None:
        self.record = start.record
        self.next_target_set: frozenset[str] | None = None
        self.stopped = False
        self._env = env
        self._links = links
        self._on_term = on_term
        self._fenced_group = start.fenced_group
        self._writer = RecordWriter(
            env.store,
            start.record.id,
            start.version,
            base_writer=start.base_writer,
            base_term=start.record.term - 1,
        )
        self._predecessor = start.predecessor
        self._cooperative = CooperativeConfirmation(
            at=start.store_read_at, store_at=start.store_read_at
        )
        self._saved = start.version is not None
        self._revision = start.record.revision
        self._store_failed_at = -math.inf
        self._successor_heard_at = monotonic_now()
        self._confirmed_at_change = -1
        self._confirmed_until = -math.inf

    @property
    def id(self) -> GroupId:
        """Return the group's name."""
        return self.record.id

    @callback
    def as_lease(self) -> Lease:
        """Return the lease as targets see it."""
        boots = self.record.boots_by_target if self._fenced_group else None
        return Lease(
            group=self.id,
            term=self.record.term,
            holder=self._env.instance_id,
            boots_by_target=boots,
        )

    # Confirmation

    @callback
    def confirmed_until(self) -> float:
        """Return the time (seconds) after which nothing may be granted or sent."""
        if not self._fenced_group:
            return confirmed_until(self._confirmation(), self._env.timing)
        if self._confirmed_at_change != self._links.changes:
            self._confirmed_at_change = self._links.changes
            self._confirmed_until = confirmed_until(
                self._confirmation(), self._env.timing
            )
        return self._confirmed_until

    @callback
    def confirmed_after(self, moment: float, now: float) -> bool:
        """Return whether a wait that ends at `moment` is over and we may act on it."""
        return now > moment and confirmed_since(self._confirmation(), moment)

    @callback
    def may_grant(self, now: float) -> bool:
        """Return whether grants may be renewed or given at `now`."""
        return not self.stopped and now < self.confirmed_until()

    @callback
    def predecessors_ended(self, now: float) -> bool:
        """Return whether no earlier holder's grant can be in force."""
        if self._predecessor is None:
            return True
        end = predecessor_end(self._predecessor, self._env.timing)
        return self.confirmed_after(end, now)

    @property
    def is_first(self) -> bool:
        """Return whether nobody can have granted anything before this holder."""
        return self._predecessor is None

    @property
    def starts_changed(self) -> bool:
        """Return whether another start of some target was named of late.

        The earlier start may still hold slices that nobody can ask it about, until the
        grants of earlier holders have ended.
        """
        return self.record.starts_changed

    @callback
    def note_disabled(self, now: float) -> None:
        """Note when earlier holders can no longer be confirmed by a majority."""
        if self._predecessor is None or self._predecessor.disabled_at < math.inf:
            return
        if now < self.confirmed_until():
            self._predecessor = replace(self._predecessor, disabled_at=now)

    @callback
    def successor_acknowledged(self, sent_at: float) -> None:
        """Note a heartbeat, sent at that time, that the successor acknowledged."""
        self._successor_heard_at = max(self._successor_heard_at, sent_at)
        self._cooperative = self._cooperative.by_successor(sent_at)

    async def async_keep_confirmed(self, now: float) -> None:
        """Ask the store where the successor of a cooperative group is silent."""
        late = now > self.confirmed_until() - self._env.timing.holder_limit / 2
        if self._fenced_group or not late or self.store_is_away(now):
            return
        match await self._writer.async_check():
            case StillOurs():
                self._cooperative = self._cooperative.by_store(now)
            case WriteDone(record=record):
                self._adopt_landed(record)
                self._cooperative = self._cooperative.by_store(now)
            case WriteLost(record=other):
                self._step_down_for(other)
            case WriteBehind() | WriteUnsettled():
                self._store_failed_at = monotonic_now()

    @callback
    def on_fenced(self, err: TargetFencedError) -> None:
        """Step down: a target follows a holder of a higher term."""
        if err.term >= self.record.term:
            self.step_down(f"target {err.target} follows {err.holder} at {err.term}")

    @callback
    def step_down(self, reason: str) -> None:
        """Stop granting and sending at once; the instance ends the rest."""
        if self.stopped:
            return
        self.stopped = True
        self.decide("step_down", reason)
        self._env.released(self.id)

    @callback
    def _confirmation(self) -> Confirmation:
        """Return what confirms this holder at the moment."""
        if not self._fenced_group:
            return self._cooperative
        present = self.record.targets
        return MajorityConfirmation(
            acknowledged_at_by_target=self._links.acknowledged_at_by_target(),
            target_sets=(present, self.next_target_set or present),
        )

    # The record

    @callback
    def next_version(self, reason: str) -> GroupRecord:
        """Return the record with the next revision."""
        self._revision += 1
        return replace(
            self.record,
            revision=self._revision,
            writer=new_writer(self._env.instance_id),
            reason=reason,
        )

    async def async_write(self, record: GroupRecord) -> WriteOutcome:
        """Write a version and act on it, if it took effect."""
        match await self._writer.async_write(record):
            case WriteDone(record=written) if written is record:
                self._adopt_saved(record)
                return WriteOutcome.SAVED
            case WriteDone(record=earlier):
                self._adopt_landed(earlier)
            case WriteBehind(record=other):
                self._merge(other)
            case WriteLost(record=other):
                self._step_down_for(other)
            case WriteUnsettled():
                self._store_failed_at = monotonic_now()
                return WriteOutcome.UNSETTLED
        return WriteOutcome.SUPERSEDED

    async def async_write_or_act(self, record: GroupRecord) -> bool:
        """Write a version; without the store, act on it unsaved where that is allowed.

        Return whether the version is in force. Nothing stops another holder of a
        cooperative group but the store's order, so such a group changes nothing
        without it. A version that a landed write made old is never acted on: the record
        would go back to a term that the targets have left.
        """
        match await self.async_write(record):
            case WriteOutcome.SAVED:
                return True
            case WriteOutcome.UNSETTLED:
                return self.adopt_unsaved(record)
            case WriteOutcome.SUPERSEDED:
                return False

    @callback
    def adopt_unsaved(self, record: GroupRecord) -> bool:
        """Act on a version that waits for the store; return whether that is allowed."""
        if not self._fenced_group or self.stopped:
            return False
        if not record.is_newer_than(self.record):
            return False
        self.record = record
        self._saved = False
        self._env.publish(record)
        return True

    async def async_name_starts(self, now: float) -> bool:
        """Write the lease with the starts of targets that answer but are not named."""
        boots = self._links.unnamed_boots()
        if not self._fenced_group or not boots or self.store_is_away(now):
            return False
        names = ",".join(sorted(boots))
        return await self._async_renew(
            f"named the present starts of {names}",
            boots_by_target={**self.record.boots_by_target, **boots},
        )

    async def async_change_targets(self, targets: frozenset[str]) -> bool:
        """Write the lease with another set of targets.

        The set changes under a new term: an instance that remembers the old set and
        one that knows the new one could else have disjoint majorities after two
        changes.
        """
        self.next_target_set = targets
        self._links.note_changed()
        return await self._async_renew("targets changed", targets=targets)

    async def async_save(self, now: float) -> None:
        """Write what was decided while the store was away."""
        waiting = self.record.waits_outage or self.record.starts_changed
        wait_over = waiting and self.predecessors_ended(now)
        if (self._saved and not wait_over) or self.store_is_away(now):
            return
        if wait_over:
            version = self.next_version("earlier holders' grants have ended")
            await self.async_write(
                replace(version, waits_outage=False, starts_changed=False)
            )
            return
        if self.record.term % 2:
            await self._async_renew("saved a takeover made in a store outage")
            return
        await self.async_write(self.next_version("saved after a store outage"))

    async def async_replace_successor(self, now: float) -> None:
        """Name another successor when there is none or it is silent."""
        if not self._saved or self.store_is_away(now):
            return
        silent = now - self._successor_heard_at > SUCCESSOR_PATIENCE
        if self.record.successor is not None and not silent:
            return
        successor = self._env.successor_for(self.id)
        if successor is None or successor == self.record.successor:
            return
        if self.record.successor is None:
            await self._async_renew("there was no successor")
        else:
            await self._async_renew(f"successor {self.record.successor} is silent")

    async def async_hand_over(self, successor: str) -> bool:
        """Write the lease over to an instance; return whether that took effect."""
        record = with_lease(
            self.record,
            holder=successor,
            successor=None,
            writer=new_writer(self._env.instance_id),
            reason="planned hand-over",
        )
        result = await self._writer.async_write(record)
        if not isinstance(result, WriteDone) or result.record is not record:
            return False
        self._env.events.assigned(record, monotonic_now())
        self._env.publish(record)
        return True

    @callback
    def store_is_away(self, now: float) -> bool:
        """Return whether the store failed so recently that we do not ask again."""
        return now - self._store_failed_at < STORE_RETRY

    @callback
    def decide(
        self, event: str, reason: str, *, target: str | None = None, slices: int = 0
    ) -> None:
        """Report one decision."""
        self._env.events.decided(
            OwnershipDecision(
                event=event,
                group=self.id,
                term=self.record.term,
                reason=reason,
                target=target,
                slices=slices,
            )
        )

    async def _async_renew(
        self,
        reason: str,
        *,
        targets: frozenset[str] | None = None,
        boots_by_target: Mapping[str, str] | None = None,
    ) -> bool:
        """Write the lease under the next term, with a fresh successor."""
        record = with_lease(
            self.record,
            holder=self._env.instance_id,
            successor=self._env.successor_for(self.id) or self.record.successor,
            writer=new_writer(self._env.instance_id),
            reason=reason,
            targets=targets,
            boots_by_target=boots_by_target,
        )
        self.decide("renew_lease", reason)
        self._successor_heard_at = monotonic_now()
        return await self.async_write(record) is WriteOutcome.SAVED

    @callback
    def _merge(self, other: GroupRecord) -> None:
        """Take over what the holder before us wrote last, unknown to us."""
        merged = with_newer_slices(self.next_version("found a later write"), other)
        self.adopt_unsaved(merged)

    @callback
    def _step_down_for(self, other: GroupRecord) -> None:
        """Make way for the holder that the store shows."""
        self.step_down(f"the store shows {other.holder} at term {other.term}")

    @callback
    def _adopt_landed(self, record: GroupRecord) -> None:
        """Go on from an earlier write of ours that took effect after all."""
        if record.is_newer_than(self.record):
            self._adopt_saved(record)
        else:
            self._saved = False

    @callback
    def _adopt_saved(self, record: GroupRecord) -> None:
        """Act on a version that is in the store."""
        before = self.record
        self.record = record
        self.next_target_set = None
        self._saved = True
        self._env.events.assigned(record, monotonic_now())
        self._env.publish(record)
        if record.term > before.term:
            self._begin_term(before)

    @callback
    def _begin_term(self, before: GroupRecord) -> None:
        """Fence again under a new term of ours.

        The replaced successor may have taken over without the store meanwhile, so it
        counts as a predecessor until a majority follows the new term. Under a record
        that named no starts nobody could be confirmed.
        """
        self._revision = self.record.revision
        if self._fenced_group and (before.boots_by_target or not self.is_first):
            self._predecessor = Predecessor(
                disabled_at=math.inf, patience=self._env.timing.holder_limit
            )
        self._links.begin_term(self.as_lease())
        self._on_term()

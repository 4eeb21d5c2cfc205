"""Grants of a held group: which slices may be granted, and granting them."""

from __future__ import annotations

from swiftpin.core import callback, monotonic_now
from swiftpin.ownership.group_lease import GroupLease
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks, Link
from swiftpin.ownership.record_changes import (
    with_raised_terms,
    with_reported_owners,
)
from swiftpin.ownership.reported_owner import ReportedOwner
from swiftpin.ownership.rules import first_slice_term, lapsed
from swiftpin.ownership.target_state import TargetState


class SliceGrants:
    """Grants the record's slices to their owners as soon as that is safe.

    Slices that were served under the present term stay known as such: nobody else
    can hold them any more. A slice counts as served once a renewal, sent while the
    holder was confirmed, was acknowledged with the slice still held.
    """

    def __init__(
        self, env: HolderEnvironment, lease: GroupLease, links: HolderLinks
    ) -> None:
        self._env = env
        self._lease = lease
        self._links = links
        self._served: set[int] = set()

    @callback
    def begin_term(self) -> None:
        """Know nothing of what is served under the new term."""
        self._served.clear()

    @callback
    def note_free(self, slices: set[int]) -> None:
        """Note slices that nobody holds, because their owner was lost or revoked."""
        self._served.update(slices)

    @callback
    def is_served(self, slice_id: int) -> bool:
        """Return whether the slice was served under the present term."""
        return slice_id in self._served

    @callback
    def may_leave_lost(self, slice_id: int, now: float) -> bool:
        """Return whether a slice of a lost target is certainly held by nobody.

        That the target's grants ended does not show that it was the owner: an earlier
        holder may have moved the slice without the store, to a target that we have
        not fenced. Found by `spec/wide`.
        """
        if slice_id in self._served or self._lease.predecessors_ended(now):
            return True
        return self._nobody_reports(slice_id)

    @callback
    def adopt_reports(self) -> None:
        """Learn of moves that earlier holders made while the store was away."""
        slices_by_id = self._lease.record.slices_by_id
        reports = [
            ReportedOwner(slice_id=slice_id, target=target, term=term)
            for target, link in self._links.by_target.items()
            for slice_id, term in link.granted_terms_by_id.items()
            if slice_id in slices_by_id and slices_by_id[slice_id].term < term
        ]
        if not reports or not self._links.checks_grants:
            return
        version = self._lease.next_version("targets reported newer slice terms")
        self._lease.adopt_unsaved(with_reported_owners(version, reports))

    async def async_grant_missing(self, now: float) -> bool:
        """Grant each slice whose owner does not hold it and may.

        Return whether there was nothing to do: every slice is served by its owner.
        """
        strays = await self._async_revoke_strays()
        missing = self._missing(strays, now)
        if not missing and not strays:
            return self._served.issuperset(self._lease.record.slices_by_id)
        if not await self._async_raise_terms(missing):
            return False
        wanted: dict[str, dict[int, int]] = {}
        for slice_id in missing:
            item = self._lease.record.slices_by_id[slice_id]
            wanted.setdefault(item.target, {})[slice_id] = item.term
        for target, terms_by_id in wanted.items():
            await self._async_grant(target, terms_by_id)
        return False

    @callback
    def _missing(self, strays: set[int], now: float) -> list[int]:
        """Return the slices that are not held by their owner and may be granted."""
        missing: list[int] = []
        for slice_id, item in self._lease.record.slices_by_id.items():
            link = self._links.by_target.get(item.target)
            if link is None or link.state is not TargetState.LIVE:
                continue
            if link.renewed_terms_by_id.get(slice_id) == item.term:
                self._served.add(slice_id)
            if link.granted_terms_by_id.get(slice_id) == item.term:
                continue
            if slice_id not in strays and self._may_serve(slice_id, link, now):
                missing.append(slice_id)
        return missing

    async def _async_raise_terms(self, missing: list[int]) -> bool:
        """Raise slice terms below this lease's first; return whether all are raised."""
        record = self._lease.record
        if self._lease.is_first or not self._links.checks_grants:
            return True
        floor = first_slice_term(record.term)
        low = [
            slice_id
            for slice_id in missing
            if slice_id not in self._served
            and record.slices_by_id[slice_id].term < floor
        ]
        if not low:
            return True
        version = self._lease.next_version("granted slices that nobody reported")
        return await self._lease.async_write_or_act(with_raised_terms(version, low))

    async def _async_grant(self, target: str, terms_by_id: dict[int, int]) -> None:
        """Grant slices to one target and note that they are served."""
        if not await self._links.by_target[target].async_grant(terms_by_id):
            return
        self._served.update(terms_by_id)
        self._lease.decide("grant", "owner", target=target, slices=len(terms_by_id))

    @callback
    def _may_serve(self, slice_id: int, link: Link, now: float) -> bool:
        """Apply the rule `serve` to one slice whose owner is live."""
        if not lapsed(link.blocked_until, self._env.timing, now):
            return False
        if slice_id in self._served or self._lease.predecessors_ended(now):
            return True
        return self._nobody_reports(slice_id)

    @callback
    def _nobody_reports(self, slice_id: int) -> bool:
        """Return whether every target was asked and none holds the slice."""
        if not self._links.checks_grants or self._lease.starts_changed:
            return False
        if not self._links.all_fenced(self._lease.record.targets):
            return False
        return not any(
            slice_id in link.granted_terms_by_id
            for link in self._links.by_target.values()
        )

    async def _async_revoke_strays(self) -> set[int]:
        """Revoke what targets hold beside the record; return what they may still hold.

        A grant whose answer was lost counts as held too: it may arrive later.
        """
        left: set[int] = set()
        for target, link in self._links.by_target.items():
            strays = self._strays_of(target, link, monotonic_now())
            if strays and link.state is not TargetState.LOST:
                await link.async_revoke(strays, 0.0)
            now = monotonic_now()
            left.update(item for item in strays if link.may_hold(item, now))
        return left

    @callback
    def _strays_of(self, target: str, link: Link, now: float) -> frozenset[int]:
        """Return the slices that a target may hold without being their owner."""
        slices_by_id = self._lease.record.slices_by_id
        return frozenset(
            slice_id
            for slice_id in link.possible_slices(now)
            if slice_id not in slices_by_id or slices_by_id[slice_id].target != target
        )

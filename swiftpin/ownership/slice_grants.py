"""Grants of a held group: which slices may be granted, and granting them."""

from __future__ import annotations

from swiftpin.core import callback, monotonic_now
from swiftpin.ownership.group_lease import GroupLease
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.holder_links import HolderLinks, Link
from swiftpin.ownership.record_changes import with_reported_owner
from swiftpin.ownership.rules import lapsed
from swiftpin.ownership.target_state import TargetState


class SliceGrants:
    """Grants the record's slices to their owners as soon as that is safe.

    Slices that were served under the present term stay known as such: nobody else
    can hold them any more.
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
    def adopt_reports(self) -> None:
        """Learn of moves that earlier holders made while the store was away."""
        for target, link in self._links.by_target.items():
            for slice_id, term in link.granted_terms_by_id.items():
                known = self._lease.record.slices_by_id.get(slice_id)
                if known is None or known.target == target or known.term >= term:
                    continue
                self._lease.adopt_unsaved(
                    with_reported_owner(
                        self._lease.next_version(f"{target} reported a slice"),
                        slice_id,
                        target,
                        term,
                    )
                )

    async def async_grant_missing(self, now: float) -> None:
        """Grant each slice whose owner does not hold it and may."""
        strays = await self._async_revoke_strays()
        wanted: dict[str, dict[int, int]] = {}
        for slice_id, item in self._lease.record.slices_by_id.items():
            link = self._links.by_target.get(item.target)
            if link is None or link.state is not TargetState.LIVE:
                continue
            if link.granted_terms_by_id.get(slice_id) == item.term:
                self._served.add(slice_id)
                continue
            if slice_id in strays or not self._may_serve(slice_id, link, now):
                continue
            wanted.setdefault(item.target, {})[slice_id] = item.term
        for target, terms_by_id in wanted.items():
            await self._async_grant(target, terms_by_id)

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
        return self._links.checks_grants and self._links.all_fenced(
            self._lease.record.targets
        )

    async def _async_revoke_strays(self) -> set[int]:
        """Revoke what targets hold beside the record; return what they still hold."""
        left: set[int] = set()
        for target, link in self._links.by_target.items():
            strays = self._strays_of(target, link)
            if strays:
                await link.async_revoke(strays, 0.0)
                now = monotonic_now()
                left.update(item for item in strays if link.may_hold(item, now))
        return left

    @callback
    def _strays_of(self, target: str, link: Link) -> frozenset[int]:
        """Return the slices that a target holds without being their owner."""
        slices_by_id = self._lease.record.slices_by_id
        return frozenset(
            slice_id
            for slice_id in link.granted_terms_by_id
            if slice_id not in slices_by_id or slices_by_id[slice_id].target != target
        )

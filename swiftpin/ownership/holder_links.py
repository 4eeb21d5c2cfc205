"""The links of one group's holder, by target."""

from __future__ import annotations

from collections.abc import Callable

from swiftpin.config.target_spec import TargetSpec
from swiftpin.core import callback
from swiftpin.exceptions import TargetFencedError
from swiftpin.ownership.holder_environment import HolderEnvironment
from swiftpin.ownership.lease import Lease
from swiftpin.ownership.target_link import TargetLink
from swiftpin.ownership.target_state import TargetState
from swiftpin.ownership.unchecked_link import UncheckedLink

Link = TargetLink | UncheckedLink


class HolderLinks:
    """Makes, finds and ends links; `by_target` maps target ids to them.

    `changes` counts acknowledgements and restarts, so that what is worked out from
    them can be kept until the next one.
    """

    def __init__(
        self,
        env: HolderEnvironment,
        *,
        checks_grants: bool,
        may_grant: Callable[[float], bool],
        on_change: Callable[[], None],
        on_fenced: Callable[[TargetFencedError], None],
    ) -> None:
        self.by_target: dict[str, Link] = {}
        self.checks_grants = checks_grants
        self.changes = 0
        self._env = env
        self._may_grant = may_grant
        self._on_change = on_change
        self._on_fenced = on_fenced

    @callback
    def ensure(self, spec: TargetSpec, lease: Lease) -> None:
        """Have a running link to the target at its present address."""
        known = self.by_target.get(spec.id)
        if known is not None and known.spec == spec:
            return
        link = self._new_link(spec, lease)
        if known is not None:
            # The old address may still serve until its grants end; granting at the
            # new one before would give the slices two owners.
            link.limit = link.blocked_until = known.limit
            known.stop_soon()
        self.by_target[spec.id] = link
        link.start()

    @callback
    def acknowledged_at_by_target(self) -> dict[str, float]:
        """Return when the targets that count last acknowledged (seconds)."""
        return {target: link.acknowledged_at for target, link in self.by_target.items()}

    @callback
    def unnamed_boots(self) -> dict[str, str]:
        """Return the starts that answer and that the lease does not name."""
        return {
            target: link.boot_id
            for target, link in self.by_target.items()
            if link.state is TargetState.UNNAMED and link.boot_id is not None
        }

    @callback
    def all_met(self) -> bool:
        """Return whether every target has answered since its link began."""
        return all(link.boot_id is not None for link in self.by_target.values())

    @callback
    def nudge(self) -> None:
        """Have every target that answers acknowledge once more, now."""
        for link in self.by_target.values():
            if link.state is TargetState.LIVE:
                link.nudge()

    @callback
    def live(self) -> frozenset[str]:
        """Return the targets that answer."""
        return frozenset(
            target
            for target, link in self.by_target.items()
            if link.state is TargetState.LIVE
        )

    @callback
    def all_fenced(self, targets: frozenset[str]) -> bool:
        """Return whether each of the targets was fenced under the present term."""
        return all(
            target in self.by_target and self.by_target[target].fenced_in_term
            for target in targets
        )

    @callback
    def begin_term(self, lease: Lease) -> None:
        """Fence every target again under a new term."""
        self.note_changed()
        for link in self.by_target.values():
            link.begin_term(lease)

    async def async_drop_all_but(self, targets: frozenset[str]) -> None:
        """End the links to targets that left the group."""
        self.note_changed()
        for target in self.by_target.keys() - targets:
            await self.by_target.pop(target).async_stop()

    async def async_stop(self) -> None:
        """End every link."""
        await self.async_drop_all_but(frozenset())

    @callback
    def _new_link(self, spec: TargetSpec, lease: Lease) -> Link:
        """Return a link of the kind that the group's targets need."""
        client = self._env.client_for(spec)
        if not self.checks_grants:
            return UncheckedLink(
                client=client,
                timing=self._env.timing,
                may_grant=self._may_grant,
                on_change=self._on_change,
            )
        return TargetLink(
            client=client,
            lease=lease,
            timing=self._env.timing,
            may_grant=self._may_grant,
            on_change=self._on_change,
            on_acknowledged=self.note_changed,
            on_fenced=self._on_fenced,
        )

    @callback
    def note_changed(self) -> None:
        """Count a change of what confirms the holder."""
        self.changes += 1

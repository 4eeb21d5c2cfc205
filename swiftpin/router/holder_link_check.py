"""The lease holder's links to the targets, compared with those of others."""

from __future__ import annotations

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.keyranges.handover_rule import (
    HandoverDecision,
    HandoverRule,
    HolderLinks,
)
from swiftpin.relays.target_links import TargetLinks
from swiftpin.router.relay_directory import RelayDirectory


class HolderLinkCheck:
    """Tells the holder whether its own links allow it to assign keys."""

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        links: TargetLinks,
        relay_directory: RelayDirectory,
        health: StoreHealth,
    ) -> None:
        self.decision = HandoverDecision.KEEP
        self._directory = directory
        self._links = links
        self._relay_directory = relay_directory
        self._health = health
        self._rule = HandoverRule()

    @callback
    def update(self, now: float) -> None:
        """Decide anew; called regularly while this instance holds the lease."""
        lost: list[str] = []
        if self._links.has_failures:
            targets = self._directory.targets_by_id.keys()
            lost = self._links.lost_targets(targets, now)
        target_links = self._links
        links = HolderLinks(
            own_faults=sum(target_links.may_be_own_fault(it, now) for it in lost),
            witnessed=sum(target_links.is_reached_by_others(it, now) for it in lost),
            least_of_others=self._relay_directory.least_lost_links_of_others(),
            is_store_lost=self._health.is_lost,
        )
        decision = self._rule.decide(links, now)
        if decision is not self.decision:
            self.decision = decision
            log_message(
                message_type="holder_links_judged",
                decision=decision.name.lower(),
                own_faults=links.own_faults,
                witnessed=links.witnessed,
                least_of_others=links.least_of_others,
            )

    @callback
    def record_answered(self, target: str, now: float) -> None:
        """Record that an instance reported answers of a target."""
        self._links.record_reported(target, now)

    @callback
    def may_plan(self) -> bool:
        """Return whether keys may be moved by what this instance's links show."""
        return self.decision is HandoverDecision.KEEP

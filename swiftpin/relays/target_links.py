"""What an instance knows about its own links to the targets."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
import math
from typing import Final

from eliot import log_message

from swiftpin.core import callback

FAILURES_UNTIL_LOST: Final = 2
"""Failures in a row after which a link counts as lost. A single lost packet makes a
connection attempt fail."""

MIN_FAILED_LINKS: Final = 3
"""Minimum number of links that must fail at the same time for the instance to presume
that it has lost its links to all targets."""

FAILED_TO_WORKING_RATIO: Final = 2
"""Minimum ratio, for the same presumption, of failed links to those that have worked
since the first of these failures."""

PRESUMPTION_CHECK_TIME: Final = 0.4
"""Seconds after which a presumption has been checked by probes of other links."""

REPORT_DELAY: Final = 0.5
"""Seconds for which another instance's report may tell of answers from before a link
was lost."""

EVIDENCE_PERIOD: Final = 1.5
"""Seconds for which one failure or answer counts towards the presumption."""


@dataclass(kw_only=True, slots=True)
class LinkEvidence:
    """Evidence about the link to one target; times are suspend-aware."""

    failures: int = 0
    """Failures since the last success."""

    failing_since: float = -math.inf
    """Time of the first of these failures."""

    failed_at: float = -math.inf
    worked_at: float = -math.inf
    """Time of the last answer or opened connection."""

    silent_at: float = -math.inf
    """Time at which open connections were last found not to carry answers."""

    answered_at: float = -math.inf
    """Time of the last answer on an open connection."""

    relayed_at: float = -math.inf
    """Time at which the target last answered through another instance."""

    reported_at: float = -math.inf
    """Time at which another instance last reported answers of the target."""

    lost_since: float | None = None


class TargetLinks:
    """Tells an instance's own links from the targets that lie behind them.

    An instance that gets no answer can't tell whether the target or its own link is at
    fault. The evidence collected here only decides by which way this instance sends,
    never what others are told about a target.
    """

    def __init__(self) -> None:
        self._evidence_by_target: dict[str, LinkEvidence] = {}
        self._presumed_lost_since: float | None = None
        """Time since which all links without newer evidence are presumed lost."""

        self._has_lost_links = False
        """Whether a link was lost since they were last counted."""

        self._silent_at = -math.inf
        self._relayed_at = -math.inf
        self.lost_count = 0
        """Number of lost links, as last counted by `lost_targets`."""

    @callback
    def record_answer(self, target: str, now: float) -> None:
        """Record an answer of a target over this instance's own link."""
        self._evidence_for(target).answered_at = now
        self.record_working(target, now)

    @callback
    def record_working(self, target: str, now: float) -> None:
        """Record that a connection to a target was opened or answered."""
        evidence = self._evidence_for(target)
        evidence.worked_at = now
        evidence.failures = 0
        lost_since, evidence.lost_since = evidence.lost_since, None
        if lost_since is not None:
            log_message(
                message_type="target_link_regained",
                target=target,
                lost_for=now - lost_since,
            )
        if self._presumed_lost_since is not None:
            self._review_presumption(now)

    @callback
    def record_failure(self, target: str, reason: str, now: float) -> None:
        """Record that no connection to a target could be opened."""
        evidence = self._evidence_for(target)
        if not evidence.failures:
            evidence.failing_since = now
        evidence.failures += 1
        evidence.failed_at = now
        if evidence.lost_since is None and evidence.failures >= FAILURES_UNTIL_LOST:
            evidence.lost_since = now
            self._has_lost_links = True
            log_message(
                message_type="target_link_lost",
                level="warning",
                target=target,
                reason=reason,
                last_worked=_age(evidence.worked_at, now),
            )
        self._review_presumption(now)

    @callback
    def record_silence(self, target: str, now: float) -> None:
        """Record that open connections to a target don't carry answers.

        Found together with a failure to open another connection.
        """
        self._evidence_for(target).silent_at = now
        if self._presumed_lost_since is not None:
            self._silent_at = now

    @callback
    def record_relayed(self, target: str, now: float) -> None:
        """Record that a target answered through another instance."""
        self._evidence_for(target).relayed_at = now
        self._relayed_at = now

    @callback
    def record_reported(self, target: str, now: float) -> None:
        """Record that another instance reported answers of a target."""
        self._evidence_for(target).reported_at = now
        if self._presumed_lost_since is not None and (
            now - self._presumed_lost_since > REPORT_DELAY
        ):
            self._relayed_at = now

    @callback
    def is_lost(self, target: str, now: float) -> bool:
        """Return whether no connection to a target can be expected to open."""
        evidence = self._evidence_by_target.get(target)
        if evidence is not None and evidence.lost_since is not None:
            return True
        presumed_since = self._presumed_lost_since
        if presumed_since is None:
            return False
        return evidence is None or evidence.worked_at < presumed_since

    @callback
    def lost_for(self, target: str, now: float) -> float:
        """Return the seconds for which each try to reach a target has failed.

        Return 0 if the link works, or is only presumed lost.
        """
        evidence = self._evidence_by_target.get(target)
        if evidence is None or evidence.lost_since is None:
            return 0.0
        return now - evidence.lost_since

    @callback
    def is_silent(self, target: str) -> bool:
        """Return whether open connections to a target are known to be useless."""
        evidence = self._evidence_by_target.get(target)
        if evidence is None:
            return self._silent_at > -math.inf and self._presumed_lost_since is not None
        silent_at = evidence.silent_at
        if self._presumed_lost_since is not None:
            silent_at = max(silent_at, self._silent_at)
        return silent_at > max(evidence.answered_at, evidence.worked_at)

    @callback
    def is_reached_by_others(self, target: str, now: float) -> bool:
        """Return whether a lost link is at fault, and not the target behind it.

        Known from an answer that came through another instance while the link was
        lost, or that one reported, of the target itself or, if all links are presumed
        lost, of any target.
        """
        evidence = self._evidence_by_target.get(target)
        if evidence is None or not self.is_lost(target, now):
            return False
        presumed_since = self._presumed_lost_since
        if (
            presumed_since is not None
            and now - presumed_since >= PRESUMPTION_CHECK_TIME
            and self._relayed_at > presumed_since
        ):
            return True
        lost_since = evidence.lost_since or presumed_since or now
        if evidence.reported_at > max(lost_since + REPORT_DELAY, now - EVIDENCE_PERIOD):
            return True
        return evidence.relayed_at > max(evidence.worked_at, now - EVIDENCE_PERIOD)

    @callback
    def has_worked_since(self, target: str, at: float) -> bool:
        """Return whether a target was reached after a time, by whichever way."""
        evidence = self._evidence_by_target.get(target)
        return (
            evidence is not None and max(evidence.worked_at, evidence.relayed_at) > at
        )

    @callback
    def leads_nowhere(self, target: str) -> bool:
        """Return whether a target was never reached although others can be."""
        return self.can_reach_targets() and not self.has_worked_since(target, -math.inf)

    @callback
    def can_reach_targets(self) -> bool:
        """Return whether the links to targets are not all presumed lost."""
        return self._presumed_lost_since is None

    @callback
    def may_be_own_fault(self, target: str, now: float) -> bool:
        """Return whether failures of a link may say nothing about the target."""
        is_presumed = self._presumed_lost_since is not None
        return is_presumed or self.is_reached_by_others(target, now)

    @callback
    def lost_targets(self, targets: Collection[str], now: float) -> list[str]:
        """Return the targets whose links are lost, and keep their number."""
        lost = [target for target in targets if self.is_lost(target, now)]
        self.lost_count = len(lost)
        self._has_lost_links = False
        return lost

    @property
    def has_failures(self) -> bool:
        """Return whether links are lost, or were when last counted."""
        return (
            self.lost_count > 0
            or self._presumed_lost_since is not None
            or self._has_lost_links
        )

    @callback
    def evidence_age(self, target: str, now: float) -> float:
        """Return the seconds since the last evidence that a link is lost."""
        evidence = self._evidence_by_target.get(target)
        failed_at = -math.inf if evidence is None else evidence.failed_at
        if math.isinf(failed_at) and self._presumed_lost_since is not None:
            failed_at = self._presumed_lost_since
        return now - failed_at

    @callback
    def retain_targets(self, targets: Collection[str]) -> None:
        """Drop the evidence about all other targets."""
        for target in self._evidence_by_target.keys() - set(targets):
            del self._evidence_by_target[target]

    @callback
    def _evidence_for(self, target: str) -> LinkEvidence:
        """Return the evidence about a target's link."""
        evidence = self._evidence_by_target.get(target)
        if evidence is None:
            evidence = self._evidence_by_target[target] = LinkEvidence()
        return evidence

    @callback
    def _review_presumption(self, now: float) -> None:
        """Presume that all links are lost while most links with news have failed.

        Links that began to fail together raise the presumption. As long as it holds
        all links are probed, and those that work end it. Targets that have been down
        for longer count for neither.
        """
        presumed_since = self._presumed_lost_since
        if presumed_since is None:
            failing = self._failing_since(now - EVIDENCE_PERIOD)
            began_at = min((it.failing_since for it in failing), default=now)
        else:
            failing = self._failing_since(-math.inf)
            began_at = presumed_since
        working = sum(
            evidence.worked_at > began_at
            for evidence in self._evidence_by_target.values()
            if not evidence.failures
        )
        is_presumed = len(failing) >= max(
            MIN_FAILED_LINKS, FAILED_TO_WORKING_RATIO * working
        )
        if is_presumed == (presumed_since is not None):
            return
        self._presumed_lost_since = now if is_presumed else None
        log_message(
            message_type="target_links_presumption_changed",
            level="warning",
            presumed_lost=is_presumed,
            failed=len(failing),
            working=working,
            previous_for=None if presumed_since is None else now - presumed_since,
        )

    @callback
    def _failing_since(self, at: float) -> list[LinkEvidence]:
        """Return the evidence about links that fail and began to after a time."""
        return [
            evidence
            for evidence in self._evidence_by_target.values()
            if evidence.failures and evidence.failing_since > at
        ]


def _age(at: float, now: float) -> float | None:
    """Return the seconds since a time, None if it never was."""
    return None if math.isinf(at) else now - at

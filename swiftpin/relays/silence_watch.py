"""Detection of open connections that carry no answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.relays.target_links import TargetLinks

ALL_SILENT_TIME: Final = 0.3
"""Seconds without an answer from any target, while several have requests, after which
their links are probed."""

MIN_SILENT_TARGETS: Final = 2
"""Minimum number of targets with unanswered requests for that."""

TARGET_SILENT_TIME: Final = 0.8
"""Seconds without an answer from one target that has a request after which its link is
probed; few requests take longer."""

PROBE_INTERVAL: Final = 0.4
"""Seconds between two probes of one link."""

MAX_PROBES: Final = 6
"""Maximum number of links that are probed at a time."""


@dataclass(eq=False, kw_only=True, slots=True)
class OpenExchange:
    """A request that was written to a target and has no answer yet."""

    target: str
    written_at: float
    on_silent: Callable[[], None]
    """Called once if the link is found lost while the target answers others."""

    is_silent: bool = False


class SilenceWatch:
    """Watches the unanswered requests over this instance's own links.

    Times are suspend-aware.
    """

    def __init__(self, links: TargetLinks) -> None:
        self._links = links
        self._exchanges: dict[OpenExchange, None] = {}
        self._requested_probes: set[str] = set()
        self._answered_at = -math.inf
        self._answered_at_by_target: dict[str, float] = {}
        self._probed_at_by_target: dict[str, float] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no request is unanswered and no probe was requested."""
        return not self._exchanges and not self._requested_probes

    @callback
    def request_probe(self, target: str) -> None:
        """Let the link to a target be probed soon."""
        self._requested_probes.add(target)

    @callback
    def begin(self, exchange: OpenExchange) -> None:
        """Watch a request."""
        self._exchanges[exchange] = None

    @callback
    def end(self, exchange: OpenExchange) -> None:
        """Stop watching a request."""
        self._exchanges.pop(exchange, None)

    @callback
    def record_answer(self, target: str, now: float) -> None:
        """Record an answer of a target over its own link."""
        self._answered_at = self._answered_at_by_target[target] = now

    @callback
    def take_suspects(self, now: float) -> list[str]:
        """Return the targets whose links should be probed now, and note the probes."""
        unanswered_since_by_target: dict[str, float] = {}
        for exchange in self._exchanges:
            unanswered_since_by_target.setdefault(exchange.target, exchange.written_at)
        suspects = [
            target
            for target, since in unanswered_since_by_target.items()
            if self._is_suspect(target, since, now)
        ]
        if len(suspects) < MIN_SILENT_TARGETS:
            suspects = [
                target
                for target in suspects
                if now - unanswered_since_by_target[target] >= TARGET_SILENT_TIME
            ]
        requested, self._requested_probes = self._requested_probes, set()
        return self.take_due(list(dict.fromkeys([*suspects, *sorted(requested)])), now)

    @callback
    def take_due(self, targets: list[str], now: float) -> list[str]:
        """Return the targets not probed recently, the longest ago first."""
        due = [
            target
            for target in targets
            if now - self._probed_at_by_target.get(target, -math.inf) >= PROBE_INTERVAL
        ]
        due.sort(key=lambda target: self._probed_at_by_target.get(target, -math.inf))
        for target in due[:MAX_PROBES]:
            self._probed_at_by_target[target] = now
        return due[:MAX_PROBES]

    @callback
    def handle_failed_probe(self, target: str, began_at: float, now: float) -> None:
        """Record that a target's connections are silent if no answer has come."""
        if any(
            exchange.target == target
            and exchange.written_at < began_at
            and self._answered_at_by_target.get(target, -math.inf) < began_at
            for exchange in self._exchanges
        ):
            self._links.record_silence(target, now)

    @callback
    def notify_silent(self, now: float) -> None:
        """Notify the requests on silent links to targets that others reach."""
        for exchange in list(self._exchanges):
            if (
                not exchange.is_silent
                and now - exchange.written_at >= ALL_SILENT_TIME
                and self._links.is_silent(exchange.target)
                and self._links.is_reached_by_others(exchange.target, now)
            ):
                exchange.is_silent = True
                exchange.on_silent()

    @callback
    def retain_targets(self, targets: set[str]) -> None:
        """Drop what is known about all other targets."""
        for by_target in (self._answered_at_by_target, self._probed_at_by_target):
            for target in by_target.keys() - targets:
                del by_target[target]

    @callback
    def _is_suspect(self, target: str, since: float, now: float) -> bool:
        """Return whether a request has been unanswered for long.

        All targets together fall silent sooner than one of them is slow.
        """
        answered_at = self._answered_at_by_target.get(target, -math.inf)
        if now - max(since, answered_at) >= TARGET_SILENT_TIME:
            return True
        return now - max(since, self._answered_at) >= ALL_SILENT_TIME

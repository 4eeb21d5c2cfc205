"""Times that the ownership rules use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """All values are in seconds, but for `drift`, a ratio.

    `drift` and `margin` cover clocks that run at different rates: a limit on one
    clock counts as passed on another only after `margin` plus `drift` of its length.
    `silence_limit` is how long a fenced group's holder may be silent before its
    successor takes over; after `probe_after` the successor asks it for a sign of life.
    """

    heartbeat_interval: float = 0.25
    holder_limit: float = 1.0
    grant_interval: float = 0.3
    grant_ttl: float = 1.0
    outage_limit: float = 3600.0
    drift: float = 0.01
    margin: float = 0.02
    control_timeout: float = 0.3
    reserved_term_memory: float = 10.0
    silence_limit: float = 0.7
    probe_after: float = 0.3
    watch_interval: float = 0.1
    third_party_interval: float = 1.0
    third_party_patience: float = 3.0
    revoke_wait: float = 0.5

    def slack(self, length: float) -> float:
        """Return how much longer to wait for a limit of `length` seconds."""
        return self.margin + length * self.drift

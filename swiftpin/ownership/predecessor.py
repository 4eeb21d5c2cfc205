"""What a new holder knows of those before it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Predecessor:
    """When the grants of earlier holders run out.

    `disabled_at` is our monotonic time (seconds) after which no earlier holder can be
    confirmed anew: a majority was fenced, or a cooperative takeover was written.
    `patience` is how long an earlier confirmation may last from then on (seconds).
    """

    disabled_at: float
    patience: float

"""Decoding of the speeds in key maps."""

from __future__ import annotations

from collections.abc import Sequence
import math

from eliot import log_message

from swiftpin.core import callback
from swiftpin.keyranges.target_speed import MAX_FACTOR, MIN_FACTOR


@callback
def decode_speeds(
    service: str, targets: Sequence[str], speeds: Sequence[float]
) -> dict[str, float]:
    """Return the usable factors by target; the others are unknown.

    A key map of an earlier release has none.
    """
    if not speeds:
        return {}
    if len(speeds) != len(targets):
        _log_unusable(service, len(speeds))
        return {}
    known = {
        target: factor
        for target, factor in zip(targets, speeds, strict=True)
        if target and factor != 0.0
    }
    usable = {
        target: min(max(factor, MIN_FACTOR), MAX_FACTOR)
        for target, factor in known.items()
        if math.isfinite(factor) and factor > 0.0
    }
    if len(usable) < len(known):
        _log_unusable(service, len(known) - len(usable))
    return usable


@callback
def _log_unusable(service: str, count: int) -> None:
    """Log that speeds in a key map can't be used."""
    log_message(
        message_type="key_map_speeds_unusable",
        level="warning",
        service=service,
        count=count,
    )

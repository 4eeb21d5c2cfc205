"""What is asked about the lives of targets."""

from __future__ import annotations

from typing import Protocol


class TargetLives(Protocol):
    """What is known of the lives of targets."""

    def has_ended(self, target: str, now: float) -> bool:
        """Return whether a life has ended."""

    def has_outlived(self, target: str, at: float, now: float) -> bool:
        """Return whether a life is known to have gone on after a time."""

"""Type of a source of the present time."""

from __future__ import annotations

from collections.abc import Callable

Clock = Callable[[], float]
"""Returns monotonic seconds."""

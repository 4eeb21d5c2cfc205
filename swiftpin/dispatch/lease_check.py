"""Type of a check of the group's lease."""

from __future__ import annotations

from collections.abc import Callable

LeaseCheck = Callable[[float], bool]
"""Returns whether the lease is certainly held at a time in monotonic seconds."""

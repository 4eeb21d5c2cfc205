"""What the client of one connection may send, and how long it may take."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_HEAD_BYTES: Final = 1024 * 1024
"""Maximum bytes of a request's head, whatever a listener is configured to accept."""

DEFAULT_HEAD_BYTES: Final = 64 * 1024
DEFAULT_HELD_HEADS: Final = 32 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class InputLimits:
    """Limits of a listener on the input of its connections."""

    head_bytes: int = DEFAULT_HEAD_BYTES
    """Bytes of a head, and of what is neither a head nor the data of a body."""

    head_timeout: float
    """Seconds from the first byte of a head to its last."""

    idle_timeout: float
    """Seconds for which a connection may be open without the first byte of a head."""

    held_heads: float = DEFAULT_HELD_HEADS
    """Bytes of memory for long heads of unanswered requests, on all connections."""

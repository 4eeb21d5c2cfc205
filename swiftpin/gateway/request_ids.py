"""Identifiers of requests."""

from __future__ import annotations

from itertools import count
import os

from swiftpin.core import callback

INCARNATION_BYTES = 6


class RequestIds:
    """Gives each request an id that no other request has.

    A random part chosen at start keeps ids of different instances and starts apart,
    a counter those of one start.
    """

    def __init__(self) -> None:
        self._prefix = os.urandom(INCARNATION_BYTES).hex()
        self._numbers = count(1)

    @callback
    def next(self) -> str:
        """Return a new id."""
        return f"{self._prefix}-{next(self._numbers):x}"

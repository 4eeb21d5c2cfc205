"""How long answers take from their beginning until callers have them."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.model.request_kind import RequestKind

SMOOTHING_FACTOR: Final = 0.1
"""Weight of one answer."""

LINK_PASSES: Final = 2
"""Times that an answer goes over the instance's own link. What is measured is its way
in: the way out is as long, and ends in buffers, unseen."""


class TransferTimes:
    """Means of the time from an answer's beginning to its end, by service and kind.

    Requests get slots early enough to meet their objective, and no earlier where
    others wait. Without the transfer time, long answers over thin links are all late.
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, RequestKind], float] = {}

    @callback
    def record(self, service: str, kind: RequestKind, seconds: float) -> None:
        """Take the time for which an answer was read and passed on."""
        mean = self._means.get((service, kind))
        if mean is None:
            self._means[service, kind] = seconds
        else:
            self._means[service, kind] = mean + SMOOTHING_FACTOR * (seconds - mean)

    @callback
    def estimate(self, service: str, kind: RequestKind) -> float:
        """Return the seconds from an answer's beginning until the caller has it."""
        return LINK_PASSES * self._means.get((service, kind), 0.0)

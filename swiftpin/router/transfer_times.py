"""Estimates of the time that answers take to reach callers."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.model.request_kind import RequestKind

SMOOTHING_FACTOR: Final = 0.1
"""Weight of the latest answer in the moving average."""

LINK_PASSES: Final = 2
"""Number of times that an answer passes the instance's own link. Only the transfer to
the instance can be measured; the one to the caller takes as long, but writes
return as soon as the data is buffered."""


class TransferTimes:
    """Moving averages of answers' transfer times, by service and request kind.

    Waiting requests get slots just early enough to meet their objective. If the
    transfer time were ignored, all long answers over slow links would be late.
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, RequestKind], float] = {}

    @callback
    def record(self, service: str, kind: RequestKind, seconds: float) -> None:
        """Record how long an answer took to be read and relayed."""
        mean = self._means.get((service, kind))
        if mean is None:
            self._means[service, kind] = seconds
        else:
            self._means[service, kind] = mean + SMOOTHING_FACTOR * (seconds - mean)

    @callback
    def estimate(self, service: str, kind: RequestKind) -> float:
        """Return the estimated seconds from an answer's start to its delivery."""
        return LINK_PASSES * self._means.get((service, kind), 0.0)

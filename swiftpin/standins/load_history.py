"""Load as it was some time ago."""

from __future__ import annotations

from collections import deque

from swiftpin.core import callback
from swiftpin.standins.load_report import LoadReport


class LoadHistory:
    """Samples of the load, to report it `lag` seconds late."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: deque[tuple[float, LoadReport]] = deque()

    @callback
    def add(self, report: LoadReport, now: float) -> None:
        """Add a sample and forget those that no report needs any more."""
        self._samples.append((now, report))
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag:
            self._samples.popleft()

    def report(self, now: float) -> LoadReport:
        """Return the load of `lag` ago; idle before the first sample."""
        latest = LoadReport()
        for at, report in self._samples:
            if at > now - self._lag:
                break
            latest = report
        return latest

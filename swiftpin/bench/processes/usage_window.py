"""Usage of processes between two moments."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.processes.managed_process import ManagedProcess
from swiftpin.bench.processes.usage import Usage, read_usage


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageWindow:
    """Usage within a window.

    `cpu` is in processor seconds, `resident` the bytes of memory at the end, `written`
    the bytes that went out, but for log lines.
    """

    seconds: float
    cpu: float
    resident: int
    written: int

    @property
    def cores(self) -> float:
        """Return processor seconds a second; 1.0 is a whole core."""
        return self.cpu / self.seconds

    @property
    def written_rate(self) -> float:
        """Return the bytes written a second."""
        return self.written / self.seconds


class UsageMeter:
    """Takes the usage of one process from its start on."""

    def __init__(self, process: ManagedProcess, now: float) -> None:
        self._process = process
        self._since = now
        self._log_before = self._log_size()
        self._before: Usage = read_usage(process.pid)

    def window(self, now: float) -> UsageWindow:
        """Return the usage since the start; `FileNotFoundError` if it has ended."""
        after = read_usage(self._process.pid)
        return UsageWindow(
            seconds=now - self._since,
            cpu=after.cpu - self._before.cpu,
            resident=after.resident,
            written=after.written - self._before.written - self._logged(),
        )

    def _log_size(self) -> int:
        """Return the size of the process's log in bytes."""
        return self._process.log_path.stat().st_size

    def _logged(self) -> int:
        """Return the bytes logged since the start."""
        return self._log_size() - self._log_before

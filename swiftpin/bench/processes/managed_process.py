"""One started process."""

from __future__ import annotations

import os
from pathlib import Path
import signal
import subprocess
import sys
from typing import Final

from swiftpin.bench.processes.parent_death import end_with_parent
from swiftpin.bench.processes.process_spec import ProcessSpec

LOG_TAIL_LINES: Final = 20


class ManagedProcess:
    """A process in a process group of its own, logging to a file.

    The group keeps a terminal's Ctrl-C from reaching it before its starter has
    decided in which order to end things.
    """

    def __init__(self, spec: ProcessSpec, log_path: Path) -> None:
        self.spec = spec
        self.log_path = log_path
        with log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", spec.module, *spec.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                process_group=0,
                preexec_fn=end_with_parent,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, None while it runs."""
        return self._popen.poll()

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended; a frozen one counts as running."""
        return self.exit_code is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        self._popen.send_signal(number)

    def kill_group(self) -> None:
        """Kill the process and whatever it started.

        The process is not reaped while it counts as running, so its id cannot belong
        to another process yet.
        """
        if not self.is_running:
            return
        try:
            os.killpg(self.pid, signal.SIGKILL)
        except ProcessLookupError:
            return

    def wait(self, timeout: float) -> int:
        """Block until the process has ended, at most `timeout` seconds."""
        return self._popen.wait(timeout)

    def log_tail(self) -> str:
        """Return the last lines that the process logged."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

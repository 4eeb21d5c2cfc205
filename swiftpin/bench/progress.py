"""Line on stderr that tells what an experiment is doing."""

from __future__ import annotations

import sys
from typing import Final, TextIO

from swiftpin.core import monotonic_now

CLEAR_LINE: Final = "\r\x1b[K"


class Progress:
    """Overwrites one line on a terminal, else writes a line for each step."""

    def __init__(self, stream: TextIO = sys.stderr) -> None:
        self._stream = stream
        self._is_terminal = stream.isatty()
        self._start = monotonic_now()

    def show(self, step: str) -> None:
        """Show the present step with the seconds since the start."""
        line = f"[{monotonic_now() - self._start:6.1f} s] {step}"
        self._stream.write(f"{CLEAR_LINE}{line}" if self._is_terminal else f"{line}\n")
        self._stream.flush()

    def close(self) -> None:
        """Leave the line."""
        if self._is_terminal:
            self._stream.write("\n")
            self._stream.flush()

"""The record of a play: what was sent, answered and run."""

from __future__ import annotations

from pathlib import Path
import time


class Record:
    """Collects lines with the seconds since the start, and writes them to a file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        """Times and texts in order."""

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append((self.now, text))

    def save(self) -> None:
        """Write all lines."""
        text = "".join(f"{at:8.3f} {line}\n" for at, line in self.lines)
        self._path.write_text(text, encoding="utf-8")

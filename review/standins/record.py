"""The record of what was sent, answered and run in a case."""

from __future__ import annotations

import json
from pathlib import Path
import time
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, event: str, **fields: Any) -> None:  # noqa: ANN401  # any JSON value
        """Write an event."""
        seconds = time.monotonic() - self._began_at
        text = " ".join(f"{name}={json.dumps(it)}" for name, it in fields.items())
        self._file.write(f"{seconds:8.3f} {event} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.add(text)
        print(text, flush=True)  # the outcome of a script

"""Trace of what was done to which process."""

from __future__ import annotations

from pathlib import Path

import orjson

from swiftpin.bench.processes.process_event import ProcessEvent


class SupervisorTrace:
    """JSON lines `{"kind", "name", "at"}`; `at` is in monotonic seconds."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._file = path.open("ab", buffering=0)

    def record(self, event: ProcessEvent, name: str, now: float) -> None:
        """Write one line; it is in the file when this returns."""
        line = {"kind": event.value, "name": name, "at": now}
        self._file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Close the file."""
        self._file.close()

"""Writing of lines without holding up the event loop."""

from __future__ import annotations

from collections import deque
from threading import Event, Thread
from typing import BinaryIO, Final

from swiftpin.core import callback

FLUSH_INTERVAL: Final = 0.05
"""Seconds; lines of the last interval are lost when the process is killed."""

DEFAULT_LINE_LIMIT: Final = 20_000

KEPT_FOR_FAILURES: Final = 0.25
"""Part of the room that only lines of failures may use: when the reader stalls they are
what is looked for."""

CLOSE_LIMIT: Final = 1.0


class LineWriter:
    """Bounded queue of lines that a thread writes to a stream.

    Writing in the event loop would stop the whole instance, heartbeats included,
    whenever the reader of a pipe stalls; one would see leases lapse for no reason.
    Lines for which there is no room are counted in `dropped` and announced.
    """

    def __init__(self, stream: BinaryIO, *, limit: int = DEFAULT_LINE_LIMIT) -> None:
        self.dropped = 0
        self._announced = 0
        self._stream = stream
        self._limit = limit
        self._usual_limit = int(limit * (1 - KEPT_FOR_FAILURES))
        self._lines: deque[str] = deque()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="line-writer", daemon=True)

    @callback
    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    @callback
    def write(self, line: str, *, is_failure: bool = False) -> None:
        """Take a line, without its line break."""
        limit = self._limit if is_failure else self._usual_limit
        if len(self._lines) >= limit:
            self.dropped += 1
            return
        self._lines.append(line)

    @callback
    def unload(self) -> None:
        """Write what is left and stop; a stalled reader delays it a second at most."""
        self._stopping.set()
        self._thread.join(CLOSE_LIMIT)

    def _run(self) -> None:
        """Write batches until told to stop."""
        while not self._stopping.wait(FLUSH_INTERVAL):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        """Write all waiting lines in one piece."""
        count = len(self._lines)
        batch = [self._lines.popleft() for _ in range(count)]
        if self.dropped > self._announced:
            batch.append(f"level=warning event=lines_dropped total={self.dropped}")
            self._announced = self.dropped
        if not batch:
            return
        batch.append("")
        try:
            self._stream.write("\n".join(batch).encode("utf-8", "backslashreplace"))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader closed its end, or the stream was closed. Without a place
            # for lines the instance goes on; the count shows it in the metrics.
            self.dropped += count

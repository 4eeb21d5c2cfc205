"""Log writer that does not block the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from select import PIPE_BUF
from threading import Event, Thread
import time
from typing import BinaryIO, Final

from swiftpin.core import callback
from swiftpin.helpers.line_rate_limiter import LineRateLimiter
from swiftpin.helpers.log_volume import LogVolume
from swiftpin.helpers.logging_format import format_time

FLUSH_INTERVAL: Final = 0.05
"""Seconds between writes; a killed process loses the lines of the last interval."""

DEFAULT_LINE_LIMIT: Final = 20_000

FAILURE_RESERVE_SHARE: Final = 0.25
"""Share of the queue and of the log volume reserved for lines of failures: they are the
ones needed when the reader stalls or everything fails at once."""

CLOSE_TIMEOUT: Final = 1.0


class LineWriter:
    """Bounded queue of lines that a thread writes to a stream.

    Writing in the event loop would block the instance, heartbeats included, whenever
    the reader of a pipe stalls, and leases would expire. `dropped` counts the lines
    discarded because the queue was full, `over_volume` those above the volume per
    second; a log line reports both counts.
    """

    def __init__(
        self,
        stream: BinaryIO,
        *,
        limit: int = DEFAULT_LINE_LIMIT,
        volume: LogVolume | None = None,
    ) -> None:
        self.dropped = 0
        self.lines_written = 0
        self.bytes_written = 0
        self._reported_losses = (0, 0)
        self._rate_limiter = _make_rate_limiter(volume)
        self._stream = stream
        self._limit = limit
        self._regular_limit = int(limit * (1 - FAILURE_RESERVE_SHARE))
        self._lines: deque[str] = deque()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="line-writer", daemon=True)

    @property
    def over_volume(self) -> int:
        """Return the number of lines suppressed by the volume limit."""
        return 0 if self._rate_limiter is None else self._rate_limiter.suppressed

    @callback
    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    @callback
    def write(self, line: str, *, is_failure: bool = False) -> None:
        """Queue a line, which must not end with a line break."""
        limit = self._limit if is_failure else self._regular_limit
        if len(self._lines) >= limit:
            self.dropped += 1
            return
        if self._rate_limiter is not None:
            share = 1.0 if is_failure else 1.0 - FAILURE_RESERVE_SHARE
            if not self._rate_limiter.allow(
                time.monotonic(), len(line) + 1, share=share
            ):
                return
        self._lines.append(line)

    @callback
    def unload(self) -> None:
        """Write the queued lines and stop; wait at most `CLOSE_TIMEOUT` seconds."""
        self._stopping.set()
        self._thread.join(CLOSE_TIMEOUT)

    def _run(self) -> None:
        """Write batches until stopped."""
        while not self._stopping.wait(FLUSH_INTERVAL):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        """Write all queued lines, and a report of lost lines if there are new ones."""
        count = len(self._lines)
        lines = [self._lines.popleft() for _ in range(count)]
        lost = (self.dropped, self.over_volume)
        if lost != self._reported_losses:
            self._reported_losses = lost
            lines.append(_format_losses(*lost))
        for batch in _batches(lines):
            self._write_batch(batch)

    def _write_batch(self, lines: list[bytes]) -> None:
        """Write several lines at once."""
        try:
            self._stream.write(b"".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader or the stream was closed. The instance continues without a log;
            # the metrics show the dropped lines.
            self.dropped += len(lines)
            return
        self.lines_written += len(lines)
        self.bytes_written += sum(map(len, lines))


def _batches(lines: Iterable[str]) -> Iterator[list[bytes]]:
    """Group lines into writes of at most `PIPE_BUF` bytes; a longer line goes alone.

    A pipe may split a longer write, and a reader that keeps only the first part of each
    write would silently lose the remaining lines.
    """
    batch: list[bytes] = []
    size = 0
    for line in lines:
        encoded = f"{line}\n".encode("utf-8", "backslashreplace")
        if batch and size + len(encoded) > PIPE_BUF:
            yield batch
            batch = []
            size = 0
        batch.append(encoded)
        size += len(encoded)
    if batch:
        yield batch


def _format_losses(dropped: int, over_volume: int) -> str:
    """Return a log line with the number of lines lost since the start."""
    return (
        f"time={format_time(time.time())} level=warning event=lines_dropped"
        f" total={dropped} over_volume={over_volume}"
    )


def _make_rate_limiter(volume: LogVolume | None) -> LineRateLimiter | None:
    """Return the rate limiter for a volume, None if the volume is unlimited."""
    if volume is None:
        return None
    return LineRateLimiter(volume.lines, max_bytes=volume.bytes)

"""Writing of lines without holding up the event loop."""

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
"""Seconds; lines of the last interval are lost when the process is killed."""

DEFAULT_LINE_LIMIT: Final = 20_000

FAILURE_RESERVE_SHARE: Final = 0.25
"""Part of the room, in the queue and in each second, that only lines of failures may
use: when the reader stalls or all goes wrong at once they are what is looked for."""

CLOSE_TIMEOUT: Final = 1.0


class LineWriter:
    """Bounded queue of lines that a thread writes to a stream.

    Writing in the event loop would stop the whole instance, heartbeats included,
    whenever the reader of a pipe stalls; one would see leases lapse for no reason.
    Lines for which the queue has no room are counted in `dropped`, those above the
    volume of a second in `over_volume`; both are announced.
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
        self._announced = (0, 0)
        self._budget = _budget(volume)
        self._stream = stream
        self._limit = limit
        self._usual_limit = int(limit * (1 - FAILURE_RESERVE_SHARE))
        self._lines: deque[str] = deque()
        self._stopping = Event()
        self._thread = Thread(target=self._run, name="line-writer", daemon=True)

    @property
    def over_volume(self) -> int:
        """Return how many lines were left out since they were too many a second."""
        return 0 if self._budget is None else self._budget.suppressed

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
        if self._budget is not None:
            share = 1.0 if is_failure else 1.0 - FAILURE_RESERVE_SHARE
            if not self._budget.allow(time.monotonic(), len(line) + 1, share=share):
                return
        self._lines.append(line)

    @callback
    def unload(self) -> None:
        """Write what is left and stop; a stalled reader delays it a second at most."""
        self._stopping.set()
        self._thread.join(CLOSE_TIMEOUT)

    def _run(self) -> None:
        """Write batches until told to stop."""
        while not self._stopping.wait(FLUSH_INTERVAL):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        """Write all waiting lines."""
        count = len(self._lines)
        batch = [self._lines.popleft() for _ in range(count)]
        lost = (self.dropped, self.over_volume)
        if lost != self._announced:
            self._announced = lost
            batch.append(_announcement(*lost))
        for piece in _pieces(batch):
            self._write_piece(piece)

    def _write_piece(self, lines: list[bytes]) -> None:
        """Write some lines at once."""
        try:
            self._stream.write(b"".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader closed its end, or the stream was closed. Without a place
            # for lines the instance goes on; the count shows it in the metrics.
            self.dropped += len(lines)
            return
        self.lines_written += len(lines)
        self.bytes_written += sum(map(len, lines))


def _pieces(lines: Iterable[str]) -> Iterator[list[bytes]]:
    """Return lines in groups that a pipe takes whole; a longer line stands alone.

    Longer writes may reach the reader in parts, and a reader that keeps one part of
    each loses the lines behind it without a sign.
    """
    piece: list[bytes] = []
    size = 0
    for line in lines:
        written = f"{line}\n".encode("utf-8", "backslashreplace")
        if piece and size + len(written) > PIPE_BUF:
            yield piece
            piece = []
            size = 0
        piece.append(written)
        size += len(written)
    if piece:
        yield piece


def _announcement(dropped: int, over_volume: int) -> str:
    """Return the line that tells how many lines are missing since the start."""
    return (
        f"time={format_time(time.time())} level=warning event=lines_dropped"
        f" total={dropped} over_volume={over_volume}"
    )


def _budget(volume: LogVolume | None) -> LineRateLimiter | None:
    """Return the budget for a volume, None where it has no limit."""
    if volume is None:
        return None
    return LineRateLimiter(volume.lines, max_bytes=volume.bytes)

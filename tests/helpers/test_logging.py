"""Tests of the format and the writing of log lines."""

from __future__ import annotations

from collections.abc import Iterator
import io
import json
import logging
from select import PIPE_BUF
import threading

from eliot import log_message, start_action
from hypothesis import given
from hypothesis import strategies as st
import pytest

from swiftpin.helpers.log_volume import LogVolume
from swiftpin.helpers.logging_format import (
    MAX_TEXT_LENGTH,
    format_pairs,
    format_time,
    format_value,
)
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.helpers.logging_writer import LineWriter


class Stream(io.BytesIO):
    """Stream in memory that can be stalled."""

    def __init__(self) -> None:
        super().__init__()
        self.may_write = threading.Event()
        self.may_write.set()

    def write(self, data: object) -> int:
        """Write as soon as writing is allowed."""
        self.may_write.wait()
        assert isinstance(data, bytes)
        return super().write(data)

    @property
    def lines(self) -> list[str]:
        """Return the written lines."""
        return self.getvalue().decode().splitlines()


@pytest.fixture
def stream() -> Stream:
    """Return an empty stream."""
    return Stream()


@pytest.fixture
def setup(stream: Stream) -> Iterator[LoggingSetup]:
    """Yield a logging setup that writes to the stream."""
    logging_setup = LoggingSetup(stream, "info")
    logging_setup.setup()
    yield logging_setup
    logging_setup.unload()


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (None, "-"),
        ("-", '"-"'),
        ("", '""'),
        (True, "true"),
        (7, "7"),
        (1.23456, "1.235"),
        ("plain/1.0", "plain/1.0"),
        ("two words", '"two words"'),
        ('a"b', r'"a\"b"'),
        ("a=b", '"a=b"'),
        ("a\nlevel=error", r'"a\nlevel=error"'),
        ("\x1b[31m", r'"\u001b[31m"'),
        ("é\u2028", r'"\u00e9\u2028"'),
        ("\udc80", r'"\udc80"'),
    ],
)
def test_values_are_escaped(value: object, text: str) -> None:
    """Values with special characters are quoted."""
    assert format_value(value) == text


@given(st.text())
def test_text_stays_one_value(text: str) -> None:
    """No text can break out of its value, and every text can be parsed back."""
    formatted = format_value(text)
    assert formatted.isascii()
    assert formatted.isprintable()
    if formatted.startswith('"'):
        assert json.loads(formatted) == text
    else:
        assert formatted == text
        assert not set(formatted) & set(' "=')


def test_keys_are_escaped() -> None:
    """Special characters in a key are replaced."""
    assert format_pairs({"a b=c": 1, "d": None}) == "a_b_c=1 d=-"


def test_time_is_utc_with_milliseconds() -> None:
    """Times sort as text."""
    assert format_time(0.0019) == "1970-01-01T00:00:00.001Z"


def test_messages_of_eliot_become_lines(setup: LoggingSetup, stream: Stream) -> None:
    """A message becomes one line with its level and event."""
    log_message(message_type="moved", level="warning", key="a b", slices=3)
    with pytest.raises(ValueError, match="bad"), start_action(action_type="write"):
        raise ValueError("bad")
    setup.unload()
    # eliot buffers messages until the first destination, so others may come first.
    moved, started, failed = stream.lines[-3:]
    assert moved.endswith('level=warning event=moved key="a b" slices=3')
    assert "level=info event=write action_status=started" in started
    assert "level=error event=write exception=builtins.ValueError" in failed


def test_records_of_logging_become_lines(setup: LoggingSetup, stream: Stream) -> None:
    """A library's record becomes one line, even with a traceback."""
    logger = logging.getLogger("library")
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        logger.exception("failed\nlevel=info")
    setup.unload()
    (line,) = stream.lines
    assert r'level=error event=log logger=library message="failed\nlevel=info"' in line
    assert r"traceback=" in line


def test_lower_levels_are_not_written(stream: Stream) -> None:
    """Messages below the configured level are not written."""
    logging_setup = LoggingSetup(stream, "warning")
    logging_setup.setup()
    log_message(message_type="quiet")
    log_message(message_type="loud", level="error")
    logging_setup.unload()
    assert [line.split()[2] for line in stream.lines] == ["event=loud"]


def test_stalled_reader_does_not_hold_up_the_writer(stream: Stream) -> None:
    """Guards against an instance that stops answering when its log reader stalls.

    A write to a full pipe blocks. In the event loop it would also block heartbeats, so
    lines above the queue limit are dropped and counted instead.
    """
    stream.may_write.clear()
    writer = LineWriter(stream, limit=3)
    writer.start()
    for number in range(10):
        writer.write(f"line={number}")
    assert writer.dropped >= 4
    stream.may_write.set()
    writer.unload()
    time, _, rest = stream.lines[-1].partition(" ")
    assert time.startswith("time=2")
    dropped = writer.dropped
    assert rest == f"level=warning event=lines_dropped total={dropped} over_volume=0"
    assert len(stream.lines) == 10 - writer.dropped + 1


def test_lines_stay_whole_for_a_reader_of_pieces(
    stream: Stream, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lines lost by a reader that truncates long writes.

    A collector kept only the first 8,192 bytes of a write of 50 lines, so the log of a
    day lacked the end of 67 of 365 moves. Writes of up to `PIPE_BUF` bytes are atomic.
    """
    writes: list[bytes] = []
    monkeypatch.setattr(stream, "write", writes.append)
    writer = LineWriter(stream)
    lines = [f"line={number} {'x' * 400}" for number in range(50)]
    for line in [*lines, "long " + "y" * 9000, "last"]:
        writer.write(line)
    writer.start()
    writer.unload()
    assert b"".join(writes).decode().splitlines()[:50] == lines
    assert all(written.endswith(b"\n") for written in writes)
    long = [written for written in writes if len(written) > PIPE_BUF]
    assert [written[:5] for written in long] == [b"long "]


def test_closed_stream_only_drops_lines() -> None:
    """A closed reader does not terminate the writer thread."""
    stream = Stream()
    writer = LineWriter(stream)
    writer.start()
    stream.close()
    writer.write("line=1")
    writer.unload()
    assert writer.dropped == 1


def test_long_text_is_truncated() -> None:
    """Guards against long paths or tracebacks that use up the log volume."""
    formatted = format_value("a" * (MAX_TEXT_LENGTH + 7))
    assert json.loads(formatted) == f"{'a' * MAX_TEXT_LENGTH}...(7 more)"


@pytest.mark.parametrize(
    ("volume", "kept", "failures"),
    [
        (LogVolume(lines=8, bytes=10_000), 6, 2),
        (LogVolume(lines=1_000, bytes=80), 6, 2),
    ],
)
def test_volume_per_second_is_limited(
    stream: Stream,
    monkeypatch: pytest.MonkeyPatch,
    volume: LogVolume,
    kept: int,
    failures: int,
) -> None:
    """Guards against logs that fill the collector's disk while every target fails.

    Only the lines of requests were limited, and only by their number. A quarter of the
    volume is reserved for failures.
    """
    monkeypatch.setattr("swiftpin.helpers.logging_writer.time.monotonic", lambda: 5.0)
    writer = LineWriter(stream, volume=volume)
    for number in range(20):
        writer.write(f"served={number:02d}")
    for number in range(20):
        writer.write(f"failed={number:02d}", is_failure=True)
    assert writer.over_volume == 40 - kept - failures
    writer.start()
    writer.unload()
    assert len([line for line in stream.lines if "served" in line]) == kept
    assert len([line for line in stream.lines if "failed" in line]) == failures
    assert stream.lines[-1].endswith(f"total=0 over_volume={writer.over_volume}")
    assert writer.bytes_written == len(stream.getvalue())
    assert writer.lines_written == len(stream.lines)


def test_queue_space_is_reserved_for_failures(stream: Stream) -> None:
    """Lines of served requests don't use the queue space reserved for failures."""
    stream.may_write.clear()
    writer = LineWriter(stream, limit=8)
    for number in range(20):
        writer.write(f"served={number}")
    for number in range(2):
        writer.write(f"failed={number}", is_failure=True)
    assert writer.dropped == 14
    stream.may_write.set()
    writer.start()
    writer.unload()
    assert [line for line in stream.lines if line.startswith("failed")] == [
        "failed=0",
        "failed=1",
    ]

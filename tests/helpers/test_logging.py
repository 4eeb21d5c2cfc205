"""Log lines: their form, and their way to a stream."""

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
    """Stream that keeps its text, and can stall."""

    def __init__(self) -> None:
        super().__init__()
        self.may_write = threading.Event()
        self.may_write.set()

    def write(self, data: object) -> int:
        """Write once writing is allowed."""
        self.may_write.wait()
        assert isinstance(data, bytes)
        return super().write(data)

    @property
    def lines(self) -> list[str]:
        """Return what was written."""
        return self.getvalue().decode().splitlines()


@pytest.fixture
def stream() -> Stream:
    """Return an empty stream."""
    return Stream()


@pytest.fixture
def setup(stream: Stream) -> Iterator[LoggingSetup]:
    """Return logging to the stream."""
    started = LoggingSetup(stream, "info")
    started.setup()
    yield started
    started.unload()


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
    """What is not plain is quoted."""
    assert format_value(value) == text


@given(st.text())
def test_text_stays_one_value(text: str) -> None:
    """No text ends its value, and each comes back as it was."""
    written = format_value(text)
    assert written.isascii()
    assert written.isprintable()
    if written.startswith('"'):
        assert json.loads(written) == text
    else:
        assert written == text
        assert not set(written) & set(' "=')


def test_keys_cannot_hold_pairs() -> None:
    """A key is made plain."""
    assert format_pairs({"a b=c": 1, "d": None}) == "a_b_c=1 d=-"


def test_time_is_utc_with_milliseconds() -> None:
    """Times are written so that they sort."""
    assert format_time(0.0019) == "1970-01-01T00:00:00.001Z"


def test_messages_of_eliot_become_lines(setup: LoggingSetup, stream: Stream) -> None:
    """A message is one line with its level and event."""
    log_message(message_type="moved", level="warning", key="a b", slices=3)
    with pytest.raises(ValueError, match="bad"), start_action(action_type="write"):
        raise ValueError("bad")
    setup.unload()
    # Before the first destination eliot keeps messages, so earlier ones may come first.
    moved, started, failed = stream.lines[-3:]
    assert moved.endswith('level=warning event=moved key="a b" slices=3')
    assert "level=info event=write action_status=started" in started
    assert "level=error event=write exception=builtins.ValueError" in failed


def test_records_of_logging_become_lines(setup: LoggingSetup, stream: Stream) -> None:
    """Libraries' records, with a traceback of several lines, are one line each."""
    logger = logging.getLogger("library")
    try:
        raise ValueError("bad\nvalue")
    except ValueError:
        logger.exception("failed\nlevel=info")
    setup.unload()
    (line,) = stream.lines
    assert r'level=error event=log logger=library message="failed\nlevel=info"' in line
    assert r"traceback=" in line


def test_lower_levels_are_left_out(stream: Stream) -> None:
    """A level above info hides what is less."""
    started = LoggingSetup(stream, "warning")
    started.setup()
    log_message(message_type="quiet")
    log_message(message_type="loud", level="error")
    started.unload()
    assert [line.split()[2] for line in stream.lines] == ["event=loud"]


def test_stalled_reader_does_not_hold_up_the_writer(stream: Stream) -> None:
    """Symptom: an instance stops answering when the reader of its log stalls.

    The pipe is full and a write blocks. Were it made in the event loop, heartbeats
    would stop with it. Lines above the limit are dropped and counted instead.
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
    """Symptom: moves were planned that never ended, going by the log.

    Sequence: 50 lines were written at once, and whoever collected them kept the first
    8,192 bytes of a write: 67 of 365 moves of a day lacked their end. Cause: a write
    had no bound; up to `PIPE_BUF` bytes a pipe takes and gives whole.
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


def test_closed_stream_costs_lines_only() -> None:
    """A reader that went away does not end the writing thread."""
    stream = Stream()
    writer = LineWriter(stream)
    writer.start()
    stream.close()
    writer.write("line=1")
    writer.unload()
    assert writer.dropped == 1


def test_long_text_is_cut() -> None:
    """A caller's path or a traceback does not fill the room of all lines."""
    written = format_value("a" * (MAX_TEXT_LENGTH + 7))
    assert json.loads(written) == f"{'a' * MAX_TEXT_LENGTH}...(7 more)"


@pytest.mark.parametrize(
    ("volume", "kept", "failures"),
    [
        (LogVolume(lines=8, bytes=10_000), 6, 2),
        (LogVolume(lines=1_000, bytes=80), 6, 2),
    ],
)
def test_volume_of_a_second_has_a_bound(
    stream: Stream,
    monkeypatch: pytest.MonkeyPatch,
    volume: LogVolume,
    kept: int,
    failures: int,
) -> None:
    """Symptom: logs of a bad minute filled the disk of whoever collects them.

    Sequence: every target failed, and each request and message had its lines. Cause:
    only requests' lines had a bound, in lines. A quarter is kept for failures.
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


def test_failures_keep_their_room(stream: Stream) -> None:
    """Lines of served requests do not take the room of those that are looked for."""
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

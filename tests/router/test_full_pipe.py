"""Tests of instances whose log output is not read."""

from __future__ import annotations

from collections.abc import Iterator
import os
from typing import BinaryIO

import pytest

from swiftpin.helpers.logging_setup import LoggingSetup
from tests.router.site import Site

FILLER = b"x" * 4096
LINES_KEPT = 200


@pytest.fixture(name="full_pipe")
def full_pipe_fixture() -> Iterator[BinaryIO]:
    """Return the write end of a full pipe that is not read."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, FILLER)
    except BlockingIOError:
        os.set_blocking(writing, True)
    with open(writing, "wb", buffering=0) as stream:
        yield stream
        # Lets the log writer's thread finish.
        os.close(reading)


async def test_requests_go_on_while_nobody_reads_the_log(
    site: Site, full_pipe: BinaryIO
) -> None:
    """Failure: an instance served nothing after the reader of its log had stopped.

    Standard output was a full pipe, and a log line written in the event loop waited for
    the reader. Lines are now dropped and counted instead.
    """
    logging = LoggingSetup(full_pipe, "info", line_limit=LINES_KEPT)
    logging.setup()
    await site.async_add_router("i2", logging)
    await site.async_wait(site.is_served)
    for _ in range(2 * LINES_KEPT):
        assert (await site.async_call("/read/x", via="i2")).status == 200
    assert logging.writer.dropped > 0
    logging.unload()

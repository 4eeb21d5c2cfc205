"""Tests of instances whose log nobody reads."""

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
    """Return a pipe's writing end that holds all it can and is not read."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, FILLER)
    except BlockingIOError:
        os.set_blocking(writing, True)
    with open(writing, "wb", buffering=0) as stream:
        yield stream
        # Lets the writing thread end.
        os.close(reading)


async def test_requests_go_on_while_nobody_reads_the_log(
    site: Site, full_pipe: BinaryIO
) -> None:
    """Symptom: an instance served nothing while its log's reader had stopped.

    Sequence: standard output was a full pipe; a line was written in the event loop.
    Cause: the write waited for the reader. Lines are lost instead, and counted.
    """
    logging = LoggingSetup(full_pipe, "info", line_limit=LINES_KEPT)
    logging.setup()
    await site.async_add_router("i2", logging)
    await site.async_wait(site.is_served)
    for _ in range(2 * LINES_KEPT):
        assert (await site.async_call("/read/x", via="i2")).status == 200
    assert logging.writer.dropped > 0
    logging.unload()

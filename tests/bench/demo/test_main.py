"""Tests of the demonstration with real processes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from io import StringIO
from pathlib import Path
import signal
import sys

import pytest

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.demo.__main__ import async_check
from swiftpin.bench.demo.demo_cluster import demo_cluster
from swiftpin.bench.demo.screen import Screen

ROOT = Path(__file__).parents[3]
LAST_LINE = b"Ctrl-C ends everything."


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """Return the demonstration's cluster, not started yet."""
    async with Cluster(demo_cluster(ROOT / "examples" / "demo"), tmp_path) as cluster:
        yield cluster


@pytest.fixture
async def shown() -> AsyncIterator[asyncio.subprocess.Process]:
    """Return a demonstration that has shown everything and stays up."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "swiftpin.bench.demo",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    await process.stdout.readuntil(LAST_LINE)
    yield process
    if process.returncode is None:
        process.kill()
        await process.wait()


def is_left(pid: int) -> bool:
    """Return whether the process still exists."""
    return Path(f"/proc/{pid}").exists()


def children_of(pid: int) -> list[int]:
    """Return the ids of a process's children."""
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(child) for child in text.split()]


async def test_every_answer_is_right(cluster: Cluster) -> None:
    """The scenes go well, also after a target and a gateway were killed."""
    stream = StringIO()
    assert await async_check(cluster, Screen(stream)), stream.getvalue()


async def test_interrupt_leaves_no_process(shown: asyncio.subprocess.Process) -> None:
    """Ctrl-C ends the demonstration with status 0 and all that it started."""
    children = children_of(shown.pid)
    assert len(children) > 3
    shown.send_signal(signal.SIGINT)
    assert await shown.wait() == 0
    assert [pid for pid in children if is_left(pid)] == []

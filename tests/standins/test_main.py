"""Tests of the stand-ins' command as a process."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from pathlib import Path
import sys

from aiohttp import ClientError, ClientSession
import pytest

from swiftpin.standins.arguments import parse_arguments

Starter = Callable[..., Awaitable[Process]]


@pytest.fixture
async def start() -> AsyncIterator[Starter]:
    """Return a function that starts a stand-in; all are ended with the test."""
    processes: list[Process] = []

    async def async_start(*arguments: str) -> Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "swiftpin.standins",
            *arguments,
            stdout=PIPE,
            stderr=PIPE,
        )
        processes.append(process)
        return process

    yield async_start
    for process in processes:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def _async_url(process: Process) -> str:
    """Return the URL that a stand-in prints when it is ready."""
    assert process.stdout is not None
    line = (await process.stdout.readline()).decode()
    return line.strip().partition("url=")[2]


@pytest.mark.parametrize(
    "arguments",
    [
        ("store", "--latency-ms", "1", "--seed", "3"),
        ("target", "--name", "t1", "--zone", "z1"),
        ("instances", "--instance", "i1,z1,127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"),
    ],
)
async def test_signal_ends_a_stand_in_cleanly(
    start: Starter, arguments: tuple[str, ...]
) -> None:
    """It listens on the port that it prints and ends with status 0."""
    process = await start(*arguments, "--listen", "127.0.0.1:0")
    url = await _async_url(process)
    async with (
        ClientSession() as session,
        session.get(f"{url}/_standin/counters") as response,
    ):
        assert response.status == 200
    process.terminate()
    assert await process.wait() == 0


async def test_port_in_use_is_one_clear_line(start: Starter) -> None:
    """The second one ends with status 2."""
    first = await start("store", "--listen", "127.0.0.1:0")
    address = (await _async_url(first)).removeprefix("http://")
    second = await start("store", "--listen", address)
    _, errors = await second.communicate()
    assert second.returncode == 2
    assert errors.decode().splitlines() == [
        f"swiftpin-standin: cannot start on {address}: Address already in use"
    ]


async def test_crashing_request_ends_the_process(
    start: Starter, tmp_path: Path
) -> None:
    """The trace on disk has the start that killed the target."""
    trace = tmp_path / "t1.jsonl"
    process = await start(
        "target",
        "--listen",
        "127.0.0.1:0",
        "--name",
        "t1",
        "--zone",
        "z1",
        "--trace",
        str(trace),
    )
    url = await _async_url(process)
    async with ClientSession() as session:
        with pytest.raises(ClientError):
            await session.post(f"{url}/x", headers={"X-Crash": "1"})
    assert await process.wait() == 70
    lines = trace.read_text().splitlines()
    assert len(lines) == 1
    assert '"kind":"start"' in lines[0]


@pytest.mark.parametrize(
    "arguments",
    [
        ["store"],
        ["store", "--listen", "nowhere"],
        [
            "target",
            "--listen",
            "127.0.0.1:0",
            "--name",
            "t",
            "--zone",
            "z",
            "--slots=0",
        ],
        ["store", "--listen", "127.0.0.1:0", "--latency-ms=-1"],
        ["instances", "--listen", "127.0.0.1:0", "--instance", "i1,z1"],
    ],
)
def test_wrong_arguments_end_with_status_2(arguments: list[str]) -> None:
    """Wrong use is told from a failure."""
    with pytest.raises(SystemExit) as raised:
        parse_arguments(arguments)
    assert raised.value.code == 2

"""Tests of the command as a process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import pytest

from swiftpin.cli.__main__ import main
from swiftpin.cli.exit_status import ExitStatus
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["aply"],
        ["apply"],
        ["get", "servce"],
        ["status", "--watch", "-1"],
        ["status", "--watch", "soon"],
        ["get", "-o", "xml"],
    ],
)
def test_wrong_use(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    """Wrong arguments end with exit status 2 and an explanation."""
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == ExitStatus.WRONG_USE
    assert "error" in capsys.readouterr().err


def test_unreachable_store(capsys: pytest.CaptureFixture[str]) -> None:
    """One line on the error stream, no traceback."""
    assert main(["--store-url", "http://127.0.0.1:1", "get"]) == 4
    assert capsys.readouterr().err.count("\n") == 1


async def test_interrupt_is_clean(
    store: StoreStandin, instances: InstancesStandin
) -> None:
    """Symptom: a traceback when an operator ends `status --watch`.

    Sequence: Ctrl-C arrives between two reports.
    Cause: letting the interrupt out of the event loop.
    """
    environment = {
        **os.environ,
        "SWIFTPIN_STORE_URL": store.url,
        "SWIFTPIN_INSTANCES_URL": instances.url,
    }
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "swiftpin.cli", "status", "--watch", "60"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment,
    )
    assert process.stderr is not None
    assert b"no live instance" in await process.stderr.readline()
    process.send_signal(signal.SIGINT)
    _, rest = await process.communicate()
    assert process.returncode == ExitStatus.INTERRUPTED
    assert rest == b""

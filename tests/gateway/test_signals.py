"""Signals to the daemon as a process."""

from __future__ import annotations

from collections.abc import Iterator
import signal
import subprocess
import sys

import pytest

from swiftpin.gateway.__main__ import EXIT_CUT_OFF, EXIT_OK
from tests.gateway.test_settings import arguments

PATIENCE = 60.0


@pytest.fixture
def daemon() -> Iterator[subprocess.Popen[str]]:
    """Return a daemon that has started; the platform does not answer it."""
    process = subprocess.Popen(
        [sys.executable, "-m", "swiftpin.gateway", *arguments()],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    wait_for(process, "event=instance_started")
    yield process
    process.kill()
    process.communicate()


def wait_for(process: subprocess.Popen[str], text: str) -> None:
    """Read the daemon's lines up to the one that holds the text."""
    assert process.stdout is not None
    for line in process.stdout:
        if text in line:
            return
    raise AssertionError(f"no line holds {text!r}")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_begins_a_graceful_stop(
    daemon: subprocess.Popen[str], number: signal.Signals
) -> None:
    """One signal lets the daemon leave in order."""
    daemon.send_signal(number)
    wait_for(daemon, "event=instance_leaving")
    wait_for(daemon, "event=instance_stopped")
    assert daemon.wait(PATIENCE) == EXIT_OK
    assert daemon.stderr is not None
    assert daemon.stderr.read() == ""


def test_second_signal_ends_at_once(daemon: subprocess.Popen[str]) -> None:
    """An operator who does not want to wait signals again."""
    daemon.send_signal(signal.SIGTERM)
    wait_for(daemon, "event=instance_leaving")
    daemon.send_signal(signal.SIGTERM)
    assert daemon.wait(PATIENCE) == EXIT_CUT_OFF

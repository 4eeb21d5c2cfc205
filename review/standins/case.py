"""Start and end of a case."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
import os
from pathlib import Path
import signal
import tempfile
from typing import Final, Protocol

from review.standins.deployment import CannotRunError, Deployment
from review.standins.record import Record

MAX_SECONDS: Final = 105.0
CANNOT_RUN: Final = 2


class Case(Protocol):
    """Plays a case and returns its exit status."""

    def __call__(self, deployment: Deployment, *, has_trouble: bool) -> Awaitable[int]:
        """Play the case, with or without its disruption."""


def run_case(folder: Path, case: Case) -> int:
    """Run a case and end all that it started; return the exit status."""
    return asyncio.run(_async_run(folder, case))


async def _async_run(folder: Path, case: Case) -> int:
    """Run a case within the time allowed."""
    record = Record(folder / "record.txt")
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    has_trouble = os.environ.get("TROUBLE") != "0"
    record.say(f"begins with{'' if has_trouble else 'out'} the disruption")
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(Path(temporary), record)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                return await case(deployment, has_trouble=has_trouble)
        except CannotRunError as err:
            record.say(f"can't run: {err}")
        except TimeoutError:
            record.say("can't run: it took too long")
        finally:
            await deployment.async_end()
            _keep_logs(deployment)
    return CANNOT_RUN


def _keep_logs(deployment: Deployment) -> None:
    """Copy the routers' logs to the folder named by `KEEP_LOGS`, if it is set."""
    folder = os.environ.get("KEEP_LOGS")
    if not folder:
        return
    for router in deployment.routers.values():
        Path(folder, router.log_path.name).write_bytes(router.log_path.read_bytes())

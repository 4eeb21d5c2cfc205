"""The program `swiftpin-standin`."""

from __future__ import annotations

from argparse import Namespace
import asyncio
from collections.abc import Sequence
import os
import signal
import sys
from typing import Any, Final

import uvloop

from swiftpin.core import callback
from swiftpin.standins.arguments import (
    COMMAND_INSTANCES,
    COMMAND_STORE,
    parse_arguments,
)
from swiftpin.standins.http_standin import HttpStandin
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.store_standin import StoreStandin
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import CRASH_STATUS, TargetStandin

EXIT_CANNOT_START: Final = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run one stand-in until SIGTERM or SIGINT; return the exit status."""
    arguments = parse_arguments(argv)
    return uvloop.run(_async_run(arguments))


async def _async_run(arguments: Namespace) -> int:
    """Start the stand-in, wait for a signal, and stop it."""
    standin = _make_standin(arguments)
    try:
        url = await standin.async_start()
    except OSError as err:
        reason = err.strerror or str(err)
        message = f"swiftpin-standin: cannot start on {arguments.listen}: {reason}"
        print(message, file=sys.stderr)
        return EXIT_CANNOT_START
    stopped = _stop_event()
    print(f"event=started standin={arguments.command} url={url}", flush=True)
    await stopped.wait()
    await standin.async_stop()
    return 0


def _make_standin(arguments: Namespace) -> HttpStandin[Any]:
    """Return the stand-in that the arguments describe."""
    match arguments.command:
        case command if command == COMMAND_STORE:
            return StoreStandin(
                address=arguments.listen,
                latency=arguments.latency_ms / 1000,
                seed=arguments.seed,
            )
        case command if command == COMMAND_INSTANCES:
            return InstancesStandin(
                address=arguments.listen,
                lag=arguments.lag_ms / 1000,
                instances=arguments.instance,
            )
    return TargetStandin(
        _target_options(arguments), address=arguments.listen, on_crash=_crash
    )


def _target_options(arguments: Namespace) -> TargetOptions:
    """Return the settings of a target."""
    return TargetOptions(
        name=arguments.name,
        zone=arguments.zone,
        slots=arguments.slots,
        connections=arguments.connections,
        work=arguments.work_ms / 1000,
        cold=arguments.cold_ms / 1000,
        load_lag=arguments.load_lag_ms / 1000,
        unchecked=arguments.unchecked,
        trace=arguments.trace,
    )


def _stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


@callback
def _crash() -> None:
    """End the process at once, as a request that crashes its target does."""
    os._exit(CRASH_STATUS)


if __name__ == "__main__":
    sys.exit(main())

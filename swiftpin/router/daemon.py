"""Router daemon: runs one instance until it receives a stop signal."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Final

import uvloop

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.helpers.log_volume import ROUTER_LOG_VOLUME
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.platform.names import ENV_SETTINGS
from swiftpin.platform.settings import read_settings
from swiftpin.router.app import Router

PROGRAM: Final = "swiftpin-router"
EXIT_OK: Final = 0
EXIT_SETTINGS: Final = 2

SETTINGS_POLL_INTERVAL: Final = 1.0
"""Seconds between two checks whether the settings file changed without a signal."""


def run() -> int:
    """Run one instance until it receives a stop signal; return the exit status."""
    path = os.environ.get(ENV_SETTINGS, "")
    try:
        return uvloop.run(async_run(path))
    except ConfigurationError as err:
        print(f"{PROGRAM}: {err}", file=sys.stderr)
        return EXIT_SETTINGS


async def async_run(path: str) -> int:
    """Run one instance; return the exit status."""
    settings = read_settings(path)
    logging = LoggingSetup(sys.stdout.buffer, "info", volume=ROUTER_LOG_VOLUME)
    logging.setup()
    router = Router(settings, logging)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, router.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, router, path)
    reloads = asyncio.create_task(_async_poll_settings(router, path))
    try:
        await router.async_setup()
        await router.stop_requested.wait()
        await router.async_stop()
    finally:
        reloads.cancel()
        await router.async_unload()
        logging.unload()
    return EXIT_OK


@callback
def _reload(router: Router, path: str) -> None:
    """Reload the settings; invalid settings are logged and ignored."""
    try:
        router.apply_settings(read_settings(path))
    except ConfigurationError as err:
        router.log_rejected_settings(err)


async def _async_poll_settings(router: Router, path: str) -> None:
    """Reload settings whose file changed without a signal."""
    known = _modified_at(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL)
        modified = _modified_at(path)
        if modified != known:
            known = modified
            _reload(router, path)


def _modified_at(path: str) -> int:
    """Return the modification time of a file in nanoseconds, 0 if it is missing."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file is being replaced; the next poll finds it.
        return 0

"""Entry point of `swiftpin-gateway`."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import os
import signal
import sys
from typing import Final

import uvloop

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.app import Gateway
from swiftpin.gateway.arguments import PROGRAM
from swiftpin.gateway.collection_pace import spread_collections
from swiftpin.gateway.settings import Settings
from swiftpin.gateway.settings_loader import load_settings
from swiftpin.helpers.logging_setup import LoggingSetup

EXIT_OK: Final = 0
EXIT_CUT_OFF: Final = 1
EXIT_SETTINGS: Final = 2
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one instance until it is told to stop; return the exit status."""
    spread_collections()
    given = sys.argv[1:] if arguments is None else arguments
    try:
        settings = load_settings(given, os.environ)
        return uvloop.run(async_run(settings))
    except ConfigurationError as err:
        message = str(err).replace("\n", " ")
        print(f"{PROGRAM}: {message}", file=sys.stderr)
        return EXIT_SETTINGS


async def async_run(settings: Settings) -> int:
    """Run one instance; return the exit status."""
    logging = LoggingSetup(sys.stdout.buffer, settings.log_level.value)
    logging.setup()
    try:
        return await _async_run_gateway(Gateway(settings, logging))
    finally:
        logging.unload()


async def _async_run_gateway(gateway: Gateway) -> int:
    """Set the instance up, wait for the word to stop, and stop it."""
    signals = StopSignals(gateway.stop_wanted)
    signals.setup()
    try:
        await gateway.async_setup()
    except ConfigurationError:
        await gateway.async_unload()
        raise
    await gateway.stop_wanted.wait()
    stopping = asyncio.create_task(gateway.async_stop())
    ended = asyncio.create_task(signals.second.wait())
    await asyncio.wait((stopping, ended), return_when=asyncio.FIRST_COMPLETED)
    if stopping.done():
        ended.cancel()
        stopping.result()
        return EXIT_OK
    return EXIT_CUT_OFF


class StopSignals:
    """The first signal asks for a graceful stop, the second ends at once."""

    def __init__(self, first: asyncio.Event) -> None:
        self.first = first
        self.second = asyncio.Event()
        self._count = 0

    @callback
    def setup(self) -> None:
        """Begin to take signals."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._note)

    @callback
    def _note(self) -> None:
        """Count a signal."""
        self._count += 1
        self.first.set()
        if self._count > 1:
            self.second.set()


if __name__ == "__main__":
    sys.exit(main())

"""Setup and shutdown of logging in a daemon."""

from __future__ import annotations

import logging
from typing import BinaryIO

from eliot import add_destinations, remove_destination

from swiftpin.core import callback
from swiftpin.helpers.log_volume import LogVolume
from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_handler import LineHandler
from swiftpin.helpers.logging_writer import DEFAULT_LINE_LIMIT, LineWriter


class LoggingSetup:
    """Writes messages of eliot and `logging` to one stream as `key=value` lines."""

    def __init__(
        self,
        stream: BinaryIO,
        level: str,
        *,
        line_limit: int = DEFAULT_LINE_LIMIT,
        volume: LogVolume | None = None,
    ) -> None:
        self.writer = LineWriter(stream, limit=line_limit, volume=volume)
        self.destination = KeyValueDestination(self.writer, level)
        self._handler = LineHandler(self.destination)
        self._is_set_up = False

    @callback
    def setup(self) -> None:
        """Start logging."""
        self._is_set_up = True
        self.writer.start()
        add_destinations(self.destination)
        root = logging.getLogger()
        root.addHandler(self._handler)
        root.setLevel(logging.INFO)

    @callback
    def unload(self) -> None:
        """Stop logging and write the queued lines; further calls do nothing."""
        if not self._is_set_up:
            return
        self._is_set_up = False
        logging.getLogger().removeHandler(self._handler)
        remove_destination(self.destination)
        self.writer.unload()

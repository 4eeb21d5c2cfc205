"""Start and end of logging in a daemon."""

from __future__ import annotations

import logging
from typing import BinaryIO

from eliot import add_destinations, remove_destination

from swiftpin.core import callback
from swiftpin.helpers.logging_destination import KeyValueDestination
from swiftpin.helpers.logging_handler import LineHandler
from swiftpin.helpers.logging_writer import LineWriter


class LoggingSetup:
    """Sends the messages of eliot and `logging` to one stream as lines of pairs."""

    def __init__(self, stream: BinaryIO, level: str) -> None:
        self.writer = LineWriter(stream)
        self.destination = KeyValueDestination(self.writer, level)
        self._handler = LineHandler(self.destination)

    @callback
    def setup(self) -> None:
        """Begin to take messages."""
        self.writer.start()
        add_destinations(self.destination)
        root = logging.getLogger()
        root.addHandler(self._handler)
        root.setLevel(logging.INFO)

    @callback
    def unload(self) -> None:
        """Stop taking messages and write those that wait."""
        logging.getLogger().removeHandler(self._handler)
        remove_destination(self.destination)
        self.writer.unload()

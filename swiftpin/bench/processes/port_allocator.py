"""Free TCP ports on loopback."""

from __future__ import annotations

from random import SystemRandom
import socket
from typing import Final

from swiftpin.bench.exceptions import BenchError

LOOPBACK: Final = "127.0.0.1"
FIRST_PORT: Final = 10_000
# Ports from 32768 up are lent to outgoing connections by default. A listening port
# from that range could be taken between its choice and the bind, which shows as
# "address already in use" once in many runs.
LAST_PORT: Final = 32_000
MAX_TRIES: Final = 2_000


def is_free(port: int) -> bool:
    """Return whether a server could listen on the port."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


class PortAllocator:
    """Hands out ports that are free and that it has not handed out before.

    The choice is random rather than seeded, so that two runs side by side seldom
    meet.
    """

    def __init__(self) -> None:
        self._random = SystemRandom()
        self._used: set[int] = set()

    def allocate(self) -> str:
        """Return a free address, `host:port`."""
        for _ in range(MAX_TRIES):
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            if port in self._used or not is_free(port):
                continue
            self._used.add(port)
            return f"{LOOPBACK}:{port}"
        raise BenchError("no free port on loopback")

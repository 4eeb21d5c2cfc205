"""The connections of a listener, by what they wait for."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final, Generic, TypeVar

from swiftpin.core import callback
from swiftpin.gateway.input_limits import InputLimits

SETTLING_TIME: Final = 1.0
"""Seconds for which a connection has precedence over idle ones."""

T = TypeVar("T")


class ConnectionPhase(Enum):
    """What a connection waits for."""

    FRESH = auto()
    """The first byte of its first request."""

    HEAD = auto()
    """The rest of a request's head."""

    SERVING = auto()
    """The answer to a request."""

    IDLE = auto()
    """A further request."""

    LINGERING = auto()
    """That its client reads the last answer and closes."""


REPLACEABLE: Final = (
    ConnectionPhase.LINGERING,
    ConnectionPhase.HEAD,
    ConnectionPhase.FRESH,
)
"""Phases without a complete request, in the order in which they are given up."""


class ConnectionTable(Generic[T]):
    """Decides which connections are closed because of their clients' silence.

    A connection at which a request is served is never chosen.
    """

    def __init__(self) -> None:
        self._phases_by_connection: dict[T, ConnectionPhase] = {}
        self._since_by_phase: dict[ConnectionPhase, dict[T, float]] = {
            phase: {} for phase in ConnectionPhase
        }
        """Times at which connections entered their phase, the earliest first."""

    @callback
    def enter(self, connection: T, phase: ConnectionPhase, now: float) -> None:
        """Move a connection to a phase, or add it."""
        self.leave(connection)
        self._phases_by_connection[connection] = phase
        self._since_by_phase[phase][connection] = now

    @callback
    def leave(self, connection: T) -> None:
        """Remove a connection."""
        phase = self._phases_by_connection.pop(connection, None)
        if phase is not None:
            del self._since_by_phase[phase][connection]

    @callback
    def phase(self, connection: T) -> ConnectionPhase | None:
        """Return the phase of a connection, None if it is not open."""
        return self._phases_by_connection.get(connection)

    @callback
    def count(self, phase: ConnectionPhase) -> int:
        """Return the number of connections in a phase."""
        return len(self._since_by_phase[phase])

    @callback
    def count_requesting(self) -> int:
        """Return the number of connections that have sent a complete request."""
        return len(self._phases_by_connection) - sum(map(self.count, REPLACEABLE))

    @callback
    def find_expired(self, limits: InputLimits, now: float) -> list[T]:
        """Return the connections whose clients have taken too long."""
        limits_by_phase = {
            ConnectionPhase.FRESH: limits.idle_timeout,
            ConnectionPhase.HEAD: limits.head_timeout,
            ConnectionPhase.IDLE: limits.idle_timeout,
        }
        expired = []
        for phase, limit in limits_by_phase.items():
            for connection, since in self._since_by_phase[phase].items():
                if now - since <= limit:
                    break
                expired.append(connection)
        return expired

    @callback
    def choose_replaced(self, now: float) -> T | None:
        """Return the connection to close in favour of a new one, None if there is none.

        Idle ones are closed before one that was opened a moment ago: its client has
        probably sent a request that was not read yet.
        """
        for phase in REPLACEABLE:
            oldest = self.oldest(phase)
            since = self._since_by_phase[phase]
            if oldest is not None and now - since[oldest] > SETTLING_TIME:
                return oldest
        for phase in (ConnectionPhase.IDLE, *REPLACEABLE):
            oldest = self.oldest(phase)
            if oldest is not None:
                return oldest
        return None

    @callback
    def oldest(self, phase: ConnectionPhase) -> T | None:
        """Return the connection that has been in a phase for longest."""
        return next(iter(self._since_by_phase[phase]), None)

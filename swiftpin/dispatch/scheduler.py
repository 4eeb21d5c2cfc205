"""Choice of the waiting request that starts next."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.dispatch.caller_line import CallerLine
from swiftpin.dispatch.isolation_gate import IsolationGate
from swiftpin.dispatch.waiter import Waiter
from swiftpin.dispatch.waiting_lines import WaitingLines


class Scheduler:
    """Takes waiters in order, isolated ones only while the target is empty."""

    __slots__ = ("_gate", "_lines")

    def __init__(self, lines: WaitingLines, gate: IsolationGate) -> None:
        self._lines = lines
        self._gate = gate

    @callback
    def take(self, *, connected: int, has_room: bool, now: float) -> Waiter | None:
        """Remove and return the request that may start now, None without one.

        `connected` requests are in flight; `has_room` tells whether one that need
        not be isolated may join them.
        """
        if self._gate.running:
            return None
        line = self._lines.first_line()
        isolated = self._lines.first_isolated()
        if isolated is not None and self._isolated_is_next(isolated, line, now):
            return self._take_isolated(isolated, connected, now)
        if line is None or not has_room:
            return None
        return self._lines.pop(line)

    @callback
    def give_up_isolated(self, *, connected: int, now: float) -> Waiter | None:
        """Return the isolated request for which the target did not become empty.

        The others are held back no longer; the caller removes the request.
        """
        if not self._gate.is_overdue(now):
            return None
        self._gate.end(now)
        return self._lines.first_isolated() if connected else None

    def _isolated_is_next(
        self, isolated: Waiter, line: CallerLine | None, now: float
    ) -> bool:
        """Return whether the isolated request goes before the line's first one."""
        if line is None:
            return True
        better = isolated.slot.request.priority <= line.priority
        return better and self._gate.is_due(now)

    def _take_isolated(
        self, waiter: Waiter, connected: int, now: float
    ) -> Waiter | None:
        """Return the isolated request once the target is empty; hold back till then."""
        if not connected:
            self._lines.remove(waiter)
            return waiter
        if self._gate.is_due(now):
            self._gate.close(now)
        return None

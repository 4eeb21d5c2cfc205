"""Early refusal of requests that waiting would not help."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.dispatch.queue_errors import QueueErrors
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.service_times import ServiceTimes
from swiftpin.dispatch.waiting_lines import WaitingLines
from swiftpin.exceptions import NotRunError


class Admission:
    """Decides by expected times whether a request may wait; times in seconds."""

    __slots__ = ("_brownout_wait", "_errors", "_lines", "_times")

    def __init__(
        self,
        lines: WaitingLines,
        times: ServiceTimes,
        errors: QueueErrors,
        brownout_wait: float,
    ) -> None:
        self._lines = lines
        self._times = times
        self._errors = errors
        self._brownout_wait = brownout_wait

    @callback
    def refusal(
        self, request: QueuedRequest, *, working: int, slots: int, now: float
    ) -> NotRunError | None:
        """Return why a request should not wait, None when it may.

        `working` of the `slots` usable ones are in use.
        """
        own = self._times.estimate(request.class_name, now)
        ahead = 0.0
        if len(self._lines):
            if self._is_browned_out(request, slots):
                return self._errors.full(self._lines.work / slots)
            ahead = self._lines.work_before(request)
        if working >= slots:
            ahead += own / 2
        if now + ahead / slots + own > request.deadline:
            return self._errors.late(self._lines.work / slots)
        return None

    def _is_browned_out(self, request: QueuedRequest, slots: int) -> bool:
        """Return whether better classes alone keep the target busy for too long.

        The worst class is hit first and the best class never, so under overload
        downloads are given up before lookups and lookups before bookings.
        """
        better = self._lines.better_work(request.priority)
        return better > self._brownout_wait * slots

"""Limits of what this instance holds, and what it reports about them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
import math
from typing import Final

from eliot import log_message

from swiftpin.capacity.admission import Admission, Refusal
from swiftpin.capacity.capacity_limits import CapacityLimits, derive_limits
from swiftpin.capacity.readiness_gate import FleetView, ReadinessGate
from swiftpin.capacity.resident_set import read_resident_set
from swiftpin.core import callback
from swiftpin.exceptions import OverloadedError
from swiftpin.model.instance_settings import InstanceSettings
from swiftpin.router.call import Call
from swiftpin.router.capacity_metrics import CapacityMetrics
from swiftpin.router.delivery_watch import DeliveryWatch
from swiftpin.router.request_use import RequestUse

CHECK_INTERVAL: Final = 0.25
"""Seconds between two checks of slow callers and of the readiness."""

LOG_INTERVAL: Final = 1.0
"""Seconds between two log lines about refused requests or disconnected callers."""


class InstanceCapacity:
    """Admits requests, disconnects slow callers and decides on the readiness.

    Without a limit of memory or descriptors in the settings it does nothing.
    """

    def __init__(self, settings: InstanceSettings, incarnation: str) -> None:
        self.is_enabled = not (
            math.isinf(settings.memory_limit) and math.isinf(settings.max_descriptors)
        )
        self.refused: Counter[str] = Counter()
        """Requests that were refused, by reason."""

        self.open_connections: Callable[[], int] = _no_connections
        """Returns the number of open connections of callers."""

        self.closed_connections: Callable[[], int] = _no_connections
        """Returns how many connections were closed because too many were open."""

        self.fleet_view: Callable[[], FleetView] = FleetView
        """Returns what is known of the other instances."""

        self.gate = ReadinessGate(incarnation)
        self.limits = CapacityLimits()
        self.admission = Admission(self.limits)
        self.watch = DeliveryWatch(self.limits.bandwidth)
        self._settings = settings
        self._logged_refusals = 0
        self._logged_disconnects = 0

    @callback
    def measure(self) -> CapacityLimits:
        """Derive the limits from the memory that the process needs now."""
        if not self.is_enabled:
            return self.limits
        resident_set = read_resident_set()
        limits = self.limits = derive_limits(self._settings, resident_set)
        self.admission = Admission(limits)
        self.watch = DeliveryWatch(limits.bandwidth)
        log_message(
            message_type="capacity_limits",
            resident_set=resident_set,
            buffered_bytes=limits.buffered_bytes,
            connections=limits.connections,
            bandwidth=limits.bandwidth,
        )
        return limits

    @property
    def is_crowded(self) -> bool:
        """Return whether callers' connections are to be closed after their answer."""
        return self.is_enabled and self.open_connections() > self.limits.connections

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the instance isn't ready because its capacity is used up."""
        return self.gate.is_withdrawn

    @callback
    def is_overloaded(self) -> bool:
        """Return whether other instances are told that it is, or will be, unready."""
        return self.gate.is_overloaded

    @callback
    def admit(self, call: Call) -> RequestUse | None:
        """Return what a request uses, None if nothing is limited.

        Raises `OverloadedError` if the instance has no room for the request.
        """
        if not self.is_enabled:
            return None
        holding = self.admission.admit(
            call.route.name,
            0 if call.request.content.is_eof() else call.body.length,
            call.ends_at - call.started_at,
            self.open_connections(),
            call.started_at,
        )
        if isinstance(holding, Refusal):
            self.refused[holding.reason.value] += 1
            raise OverloadedError(
                f"the instance has no room for the request: {holding.reason.value}",
                retry_after=holding.retry_after,
            )
        return RequestUse(holding, self.watch)

    async def async_run(self) -> None:
        """Check callers and readiness until cancelled."""
        logged_at = 0.0
        while True:
            now = asyncio.get_running_loop().time()
            self.update(now)
            if now - logged_at >= LOG_INTERVAL:
                logged_at = now
                self._log(now)
            await asyncio.sleep(CHECK_INTERVAL)

    @callback
    def update(self, now: float) -> None:
        """Disconnect slow callers and update the readiness."""
        self.watch.check(now)
        gate = self.gate
        was_withdrawn = gate.is_withdrawn
        usage = self.usage(now)
        gate.update(usage, self.fleet_view(), now)
        if gate.is_withdrawn == was_withdrawn:
            return
        state = {
            "usage": round(usage, 3),
            "held_bytes": self.admission.held_bytes,
            "connections": self.open_connections(),
        }
        if gate.is_withdrawn:
            log_message(message_type="readiness_withdrawn", **state)
        else:
            log_message(message_type="readiness_restored", **state)

    @callback
    def usage(self, now: float) -> float:
        """Return the used share of the scarcest part of the capacity."""
        return self.admission.usage(self.open_connections(), now)

    @callback
    def collect_metrics(self, now: float) -> CapacityMetrics:
        """Return the present figures."""
        return CapacityMetrics(
            refused=self.refused,
            disconnected=self.watch.disconnected,
            closed_connections=self.closed_connections(),
            held_bytes=self.admission.held_bytes,
            held_bytes_limit=self.limits.buffered_bytes,
            connections=self.open_connections(),
            connections_limit=self.limits.connections,
            deliveries=len(self.watch.deliveries),
            link_backlog=self.admission.backlog.seconds(now),
            is_overloaded=self.gate.is_overloaded,
            is_withdrawn=self.gate.is_withdrawn,
        )

    @callback
    def _log(self, now: float) -> None:
        """Log how many requests were refused and callers disconnected."""
        refused = self.refused.total()
        if refused != self._logged_refusals:
            log_message(
                message_type="requests_refused_for_capacity",
                level="warning",
                refused=refused - self._logged_refusals,
                usage=round(self.usage(now), 3),
                held_bytes=self.admission.held_bytes,
                requests=self.admission.requests,
                connections=self.open_connections(),
                **{f"total_{reason}": count for reason, count in self.refused.items()},
            )
            self._logged_refusals = refused
        disconnected = self.watch.disconnected.total()
        if disconnected != self._logged_disconnects:
            log_message(
                message_type="slow_callers_disconnected",
                level="warning",
                disconnected=disconnected - self._logged_disconnects,
                deliveries=len(self.watch.deliveries),
                **{
                    f"total_{reason}": count
                    for reason, count in self.watch.disconnected.items()
                },
            )
            self._logged_disconnects = disconnected


@callback
def _no_connections() -> int:
    """Return the number of connections before there is a listener."""
    return 0

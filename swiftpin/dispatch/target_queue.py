"""The queue of one target at its lease holder."""

from __future__ import annotations

import asyncio
from random import Random

from swiftpin.core import callback, monotonic_now
from swiftpin.dispatch.admission import Admission
from swiftpin.dispatch.clock import Clock
from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.dispatch.isolation_gate import IsolationGate
from swiftpin.dispatch.queue_errors import QueueErrors
from swiftpin.dispatch.queue_settings import QueueSettings
from swiftpin.dispatch.queued_request import QueuedRequest
from swiftpin.dispatch.scheduler import Scheduler
from swiftpin.dispatch.service_times import ServiceTimes
from swiftpin.dispatch.slot import Slot
from swiftpin.dispatch.slot_ramp import SlotRamp
from swiftpin.dispatch.waiter import Waiter
from swiftpin.dispatch.waiting_lines import WaitingLines
from swiftpin.dispatch.wake_timer import WakeTimer
from swiftpin.exceptions import NotRunError


class TargetQueue:
    """Bounded queue for one target's slots.

    Order: priority, then turns between callers, then deadline. `rng` spreads the
    times to send again; `clock` gives monotonic seconds where no caller passes the
    time (end of a context, timers).
    """

    def __init__(
        self,
        target: str,
        settings: QueueSettings,
        rng: Random,
        *,
        clock: Clock = monotonic_now,
    ) -> None:
        self.target = target
        self.settings = settings
        self._errors = QueueErrors(rng)
        self._clock = clock
        self._times = ServiceTimes()
        self._lines = WaitingLines()
        self._admission = Admission(
            self._lines, self._times, self._errors, settings.brownout_wait
        )
        self._ramp = SlotRamp(settings.slots, settings.ramp_time)
        self._gate = IsolationGate(
            settings.isolation_interval, settings.isolation_patience
        )
        self._scheduler = Scheduler(self._lines, self._gate)
        self._sequence = 0
        self._working = 0
        self._connected = 0
        self._close_reason: CloseReason | None = None
        self._timer = WakeTimer(lambda: self.wake(self._clock()))
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._lines)

    @property
    def working(self) -> int:
        """Return the number of slots in use."""
        return self._working

    @property
    def connected(self) -> int:
        """Return the number of connections in use."""
        return self._connected

    @property
    def backlog(self) -> float:
        """Return the expected time in seconds to work off the waiting requests."""
        return self._lines.work / self.settings.slots

    @property
    def close_reason(self) -> CloseReason | None:
        """Return why the queue is closed, None while it is open."""
        return self._close_reason

    @callback
    def async_slot(self, request: QueuedRequest, now: float) -> Slot:
        """Return a context manager that waits for a slot and holds it.

        Entering raises a `NotRunError`: `DeadlineTooShortError`, `QueueFullError`,
        `SliceMovedError`, or the error that belongs to the reason of a closed queue.
        """
        return Slot(self, request, now)

    @callback
    def check(self, request: QueuedRequest, now: float) -> None:
        """Raise the error with which a slot would be refused at once, if any."""
        error = self._refusal(request, now)
        if error is None and self._is_full() and self._lines.victim(request) is None:
            error = self._errors.full(self.backlog)
        if error is not None:
            raise error

    @callback
    def start_ramp(self, now: float) -> None:
        """Begin with one slot, since the target has just started."""
        self._ramp.start(now)

    @callback
    def close(self, reason: CloseReason) -> None:
        """Refuse all waiting and later requests; those with a slot go on."""
        self._close_reason = reason
        for waiter in self._lines:
            self._refuse(waiter, self._errors.closed(reason))
        self._timer.cancel()

    @callback
    def refuse_slices(self, slices: frozenset[int]) -> None:
        """Refuse the waiting requests of slices that left the target."""
        for waiter in self._lines:
            if waiter.slot.request.slice_id in slices:
                self._refuse(waiter, self._errors.moved())

    async def async_wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    @callback
    def wake(self, now: float) -> None:
        """Refuse what waited too long and start what may start.

        The queue's own timer calls it; calling it more often does no harm.
        """
        while (waiter := self._lines.overdue(now)) is not None:
            self._refuse(waiter, self._errors.late(self.backlog))
        self._dispatch(now)

    @callback
    def acquire_at_once(self, slot: Slot) -> bool:
        """Give a free slot and return True; raise `NotRunError` if none may be had."""
        now, isolated = slot.asked_at, slot.request.isolated
        if (error := self._refusal(slot.request, now)) is not None:
            raise error
        if free := not len(self._lines) and self._has_room(isolated, now):
            self._grant(slot, now)
        return free

    async def async_acquire(self, slot: Slot) -> None:
        """Wait after `acquire_at_once` said no; raise `NotRunError` when refused."""
        self._make_room(slot.request)
        waiter = self._add_waiter(slot, slot.asked_at)
        self._dispatch(slot.asked_at)
        try:
            error = await waiter.decided
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if error is not None:
            raise error

    @callback
    def release_work(self, slot: Slot, now: float) -> None:
        """Let the next request work while the slot's answer is still being read."""
        if not slot.working:
            return
        slot.working = False
        self._working -= 1
        if slot.measured and slot.granted_at is not None:
            seconds = max(now - slot.granted_at, 0.0)
            self._times.add(slot.request.class_name, seconds, now)
        self._dispatch(now)

    @callback
    def release(self, slot: Slot) -> None:
        """Take the slot and its connection back."""
        if slot.granted_at is None:
            return
        now = self._clock()
        self._connected -= 1
        if slot.request.isolated:
            self._gate.end(now)
        if not self._connected:
            self._idle.set()
        if slot.working:
            self.release_work(slot, now)
        else:
            self._dispatch(now)

    def _refusal(self, request: QueuedRequest, now: float) -> NotRunError | None:
        """Return why the request cannot even wait, None when it may."""
        if self._close_reason is not None:
            return self._errors.closed(self._close_reason)
        if request.deadline <= now:
            return self._errors.late(self.backlog)
        if not self._connected and not len(self._lines):
            # An idle target always gets a try, whatever the estimates say.
            return None
        return self._admission.refusal(
            request, working=self._working, slots=self._ramp.slots(now), now=now
        )

    def _has_room(self, isolated: bool, now: float) -> bool:
        """Return whether a request may start, were nothing else waiting."""
        if self._gate.running:
            return False
        if isolated:
            return not self._connected
        return (
            self._working < self._ramp.slots(now)
            and self._connected < self.settings.connections
        )

    def _is_full(self) -> bool:
        """Return whether no other request may wait."""
        return len(self._lines) >= self.settings.length

    def _make_room(self, request: QueuedRequest) -> None:
        """Displace a waiter from a full queue; raise when the request must yield."""
        if not self._is_full():
            return
        victim = self._lines.victim(request)
        if victim is None:
            raise self._errors.full(self.backlog)
        self._refuse(victim, self._errors.full(self.backlog))

    def _add_waiter(self, slot: Slot, now: float) -> Waiter:
        """Put a request into the queue."""
        cost = self._times.estimate(slot.request.class_name, now)
        self._sequence += 1
        waiter = Waiter(
            slot=slot,
            sequence=self._sequence,
            latest_start=slot.request.deadline - cost,
            cost=cost,
            decided=asyncio.get_running_loop().create_future(),
        )
        self._lines.add(waiter)
        return waiter

    def _dispatch(self, now: float) -> None:
        """Start all waiting requests that may start."""
        if not len(self._lines):
            return
        while (waiter := self._take_next(now)) is not None:
            # A waiter whose task was cancelled in this turn of the loop has not run
            # its clean-up yet; a slot given to it would be taken back too late.
            if not waiter.decided.done():
                self._grant(waiter.slot, now)
                waiter.decided.set_result(None)
        self._arm(now)

    def _take_next(self, now: float) -> Waiter | None:
        """Remove and return the request that may start now, None without one."""
        stuck = self._scheduler.give_up_isolated(connected=self._connected, now=now)
        if stuck is not None:
            self._refuse(stuck, self._errors.full(self.backlog))
        return self._scheduler.take(
            connected=self._connected, has_room=self._has_room(False, now), now=now
        )

    def _grant(self, slot: Slot, now: float) -> None:
        """Give the slot."""
        slot.granted_at = now
        slot.working = True
        self._working += 1
        self._connected += 1
        self._idle.clear()
        if slot.request.isolated:
            self._gate.start()

    def _refuse(self, waiter: Waiter, error: NotRunError) -> None:
        """Remove a waiter and give it its final answer."""
        self._lines.remove(waiter)
        if not waiter.decided.done():
            waiter.decided.set_result(error)

    def _abandon(self, waiter: Waiter) -> None:
        """Clean up after a caller that left while it waited."""
        if waiter.queued:
            self._lines.remove(waiter)
            self._dispatch(self._clock())
        elif waiter.slot.granted_at is not None:
            # The slot was given in the same turn of the loop in which the caller
            # left. Nobody would ever release it, and the target would lose a slot.
            self.release(waiter.slot)

    def _arm(self, now: float) -> None:
        """Set the timer for when time alone changes something."""
        moments = (
            self._lines.earliest_latest_start,
            self._gate.closed_until,
            self._ramp.next_step(now),
        )
        at = min((moment for moment in moments if moment is not None), default=None)
        if at is not None:
            self._timer.set(at, now)

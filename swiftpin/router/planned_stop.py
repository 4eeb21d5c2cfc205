"""Graceful shutdown of an instance."""

from __future__ import annotations

import asyncio
from typing import Final

from eliot import log_message

from swiftpin.core import callback
from swiftpin.discovery.store_health import StoreHealth
from swiftpin.gateway.http_listener import HttpListener
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.keyranges.lease_election import LeaseElection
from swiftpin.router.relay_handler import RelayHandler
from swiftpin.router.request_handler import RequestHandler
from swiftpin.router.send_cutoff import SendCutoff

BALANCER_REMOVAL_TIME: Final = 2.4
"""Seconds for which a stopping instance still accepts connections: the load balancer
polls it once per second and removes it after two refusals."""

STOP_MARGIN: Final = 0.8
"""Seconds before the end of the grace period at which the process starts to exit:
closing everything takes a slow instance some tenths of a second."""

QUEUE_WAIT_SHARE: Final = 0.6
"""Share of the grace period during which requests may still wait for a slot; the rest
is reserved for requests that a target is already processing."""

STOP_POLL_INTERVAL: Final = 0.02
"""Seconds between two checks whether a stopping instance may exit."""

LAST_ANSWERS_TIME: Final = 0.2
"""Maximum seconds in which interrupted requests are answered before the exit."""


class PlannedStop:
    """Finishes requests in flight and releases the lease within the grace period."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        lease: LeaseElection,
        health: StoreHealth,
        callers: HttpListener,
        handler: RequestHandler,
        relayed: RelayHandler,
        cutoff: SendCutoff,
    ) -> None:
        self._lifecycle = lifecycle
        self._lease = lease
        self._health = health
        self._callers = callers
        self._handler = handler
        self._relayed = relayed
        self._cutoff = cutoff

    async def async_run(self, grace: float) -> None:
        """Shut down within `grace` seconds."""
        handler = self._handler
        log_message(message_type="instance_leaving", in_flight=handler.in_flight)
        self._lifecycle.leaving = True
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        exit_at = started_at + grace - STOP_MARGIN
        listen_until = started_at + BALANCER_REMOVAL_TIME
        queue_until = started_at + grace * QUEUE_WAIT_SHARE
        while loop.time() < exit_at:
            if not self._must_keep_lease(suspend_aware_now()):
                await self._lease.async_give_up()
            if loop.time() >= listen_until:
                self._callers.stop_listening()
                handler.refuse_new_requests()
                self._cutoff.set_exit(exit_at)
                handler.refuse_long_requests()
                self._relayed.refuse_long_requests()
            if loop.time() >= queue_until:
                handler.refuse_waiting_requests()
                in_flight = handler.in_flight + self._relayed.in_flight
                if not in_flight and not self._must_keep_lease(suspend_aware_now()):
                    break
            await asyncio.sleep(STOP_POLL_INTERVAL)
        await self._async_answer_rest()
        await self._lease.async_give_up()
        log_message(message_type="instance_stopped", in_flight=handler.in_flight)

    async def _async_answer_rest(self) -> None:
        """Answer the requests that could not be finished."""
        loop = asyncio.get_running_loop()
        answered_until = loop.time() + LAST_ANSWERS_TIME
        self._handler.refuse_new_requests()
        self._handler.interrupt_requests()
        while self._handler.in_flight:
            if loop.time() >= answered_until:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL)

    @callback
    def _must_keep_lease(self, now: float) -> bool:
        """Return whether the lease must be kept because nobody could take it over.

        While the store is unreachable a released lease stays without a holder, and all
        keys lose their owners when the targets' grants expire.
        """
        return self._health.is_lost and self._lease.is_held(now)

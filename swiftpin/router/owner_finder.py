"""Lookup of the target that owns a request's key."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.discovery.target_directory import TargetDirectory
from swiftpin.exceptions import NoOwnerError
from swiftpin.helpers.clock import suspend_aware_now
from swiftpin.notices.target_backoffs import TargetBackoffs
from swiftpin.router.backoff_waits import BackoffWaits
from swiftpin.router.call import Call
from swiftpin.router.configuration_holder import ConfigurationHolder
from swiftpin.router.key_maps import KeyMaps
from swiftpin.router.step_failure import StepFailure

MAX_OWNER_WAIT: Final = 0.5
"""Seconds for which a request waits while its key is being moved. A move with a
handover takes about as long as one request. A longer one waits until the grant of a
lost target expires, and in that case callers should retry later."""

NO_OWNER_RETRY_AFTER: Final = 0.4
"""Seconds after which a caller may retry a request whose key had no owner."""

SAME_TARGET_PAUSE: Final = 0.1
"""Seconds before the owner of a key is tried again after it failed. By then a lost
target's keys are being moved, and an overloaded target has finished a request."""


class OwnerFinder:
    """Finds owners in the key maps, and waits for keys that are being moved."""

    def __init__(
        self,
        *,
        configuration: ConfigurationHolder,
        directory: TargetDirectory,
        maps: KeyMaps,
        backoffs: TargetBackoffs,
        backoff_waits: BackoffWaits,
        may_move_keys: Callable[[], bool],
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._maps = maps
        self._backoffs = backoffs
        self._backoff_waits = backoff_waits
        self._may_move_keys = may_move_keys
        """Returns whether keys can get a new owner at present."""

    @callback
    def is_keyed(self, service_name: str) -> bool:
        """Return whether the keys of a service are divided among its targets."""
        configuration = self._configuration.current
        if configuration is None:
            return False
        service = configuration.services_by_name.get(service_name)
        return service is not None and service.is_keyed

    @callback
    def is_owner(self, call: Call, target: str) -> bool:
        """Return whether a target owns the key of a request and may be called.

        An empty `target` stands for any target of an unkeyed service.
        """
        key = call.head.key
        if not target or key is None:
            return True
        if self._backoffs.remaining(target, suspend_aware_now()):
            return False
        return self._maps.owner_of(call.service, key) == target

    async def async_find(self, call: Call) -> str:
        """Return the target that owns the request's key; raise `NoOwnerError`."""
        key = call.head.key
        if key is None:
            call.record_failure(StepFailure.NO_KEY, "no key")
            raise NoOwnerError(
                "the request names no key", retry_after=NO_OWNER_RETRY_AFTER
            )
        loop = asyncio.get_running_loop()
        if call.failed_target:
            # The key may be moved now; otherwise the owner gets time to recover.
            await self._async_wait_map_change(call, loop.time() + SAME_TARGET_PAUSE)
        until = min(loop.time() + MAX_OWNER_WAIT, call.ends_at)
        while True:
            owner = self._maps.owner_of(call.service, key)
            if self._can_send(call.service, key, owner):
                remaining = self._backoffs.remaining(owner, suspend_aware_now())
                if not remaining:
                    return owner
                wait = self._backoff_waits.wait_or_reject(call, owner, remaining)
                await self._async_wait_map_change(call, loop.time() + wait)
                until = min(loop.time() + MAX_OWNER_WAIT, call.ends_at)
                continue
            if loop.time() >= until or not self._may_get_owner(owner):
                failure = StepFailure.OWNER_AWAY if owner else StepFailure.ON_THE_MOVE
                call.record_failure(failure, f"no owner: {owner or 'on the move'}")
                raise NoOwnerError(
                    "the key is on the move", retry_after=NO_OWNER_RETRY_AFTER
                )
            await self._async_wait_map_change(call, until)

    @callback
    def _may_get_owner(self, owner: str) -> bool:
        """Return whether waiting may help a request whose key has a certain owner.

        The keys of a target that has left need another owner, and moves are recorded in
        the store first.
        """
        has_left = owner and not self._directory.may_send(owner, suspend_aware_now())
        return not has_left or self._may_move_keys()

    @callback
    def _can_send(self, service: str, key: int, owner: str) -> bool:
        """Return whether a request for the key may be sent to its owner now."""
        now = suspend_aware_now()
        if not owner or not self._directory.may_send(owner, now):
            return False
        return not self._maps.is_denied(service, key, now)

    async def _async_wait_map_change(self, call: Call, until: float) -> None:
        """Wait until the service's key map changes, or until the given time."""
        try:
            async with asyncio.timeout_at(until):
                await self._maps.async_wait_for_change(call.service)
        except TimeoutError:
            return

"""The instances that the platform lists."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from random import Random
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import ValidationError

from swiftpin.core import callback
from swiftpin.membership.background_task import BackgroundTask
from swiftpin.membership.instance_id import incarnation_of, name_of
from swiftpin.membership.instance_info import InstanceInfo
from swiftpin.membership.instance_list_model import InstanceListModel

_LOGGER: Final = logging.getLogger(__name__)

DEFAULT_LIST_INTERVAL: Final = 2.0
LIST_BYTES_PER_SECOND: Final = 4096
"""Rate at which a long list is read at most, so that it stays a small cost."""

_CALL_TIMEOUT: Final = 1.0
_JITTER: Final = 0.2
_PATH: Final = "/v1/instances"

DirectoryListener = Callable[[], None]
"""Called in the event loop after the list changed."""


class InstanceDirectory:
    """The platform's list, which lags, and the incarnations seen in messages.

    The last known list stays in use while the platform does not answer.
    """

    def __init__(
        self,
        *,
        session: ClientSession,
        url: str,
        seed: int,
        interval: float = DEFAULT_LIST_INTERVAL,
    ) -> None:
        self._session = session
        self._url = f"{url.rstrip('/')}{_PATH}"
        self._random = Random(f"directory/{seed}")
        self._interval = interval
        self._infos_by_name: dict[str, InstanceInfo] = {}
        self._incarnations_by_name: dict[str, str] = {}
        self._listeners: list[DirectoryListener] = []
        self._task = BackgroundTask("instance directory")
        self._list_size = 0
        self.calls = 0
        self.failures = 0

    @property
    def instances_by_name(self) -> dict[str, InstanceInfo]:
        """Return the listed instances; the map is replaced, never changed."""
        return self._infos_by_name

    @property
    def incarnations_by_name(self) -> dict[str, str]:
        """Return the incarnation last heard of, by instance name."""
        return self._incarnations_by_name

    async def async_setup(self) -> None:
        """Read the list once, if it can be read, and start to follow it."""
        await self.async_refresh()
        self._task.start(self._async_follow)

    async def async_unload(self) -> None:
        """Stop following the list."""
        await self._task.async_stop()

    @callback
    def info_of(self, instance_id: str) -> InstanceInfo | None:
        """Return the listed instance of an id or name, None when there is none."""
        return self._infos_by_name.get(name_of(instance_id))

    @callback
    def note_instance(self, instance_id: str) -> None:
        """Remember the incarnation that a message showed."""
        incarnation = incarnation_of(instance_id)
        if incarnation is not None:
            self._incarnations_by_name[name_of(instance_id)] = incarnation

    @callback
    def subscribe(self, listener: DirectoryListener) -> Callable[[], None]:
        """Call the listener after each change; returns what ends this."""
        self._listeners.append(listener)

        @callback
        def unsubscribe() -> None:
            """Stop calling the listener."""
            if listener in self._listeners:
                self._listeners.remove(listener)

        return unsubscribe

    async def async_refresh(self) -> bool:
        """Read the list; return whether it could be read."""
        self.calls += 1
        try:
            infos_by_name = await self._async_read()
        except (ClientError, TimeoutError, ValidationError) as err:
            self.failures += 1
            _LOGGER.warning("event=instance_list_failed error=%r", err)
            return False
        if not infos_by_name:
            # An empty list is the platform's fault, since this instance runs; to
            # adopt it would cut off all peers at once.
            self.failures += 1
            _LOGGER.warning("event=instance_list_empty")
            return False
        self._adopt(infos_by_name)
        return True

    async def _async_follow(self) -> None:
        """Read the list again and again."""
        while True:
            await asyncio.sleep(self._next_delay())
            await self.async_refresh()

    def _next_delay(self) -> float:
        """Return the jittered time in seconds until the next read."""
        interval = max(self._interval, self._list_size / LIST_BYTES_PER_SECOND)
        return interval * self._random.uniform(1 - _JITTER, 1 + _JITTER)

    async def _async_read(self) -> dict[str, InstanceInfo]:
        """Return the instances that the platform lists now, by name."""
        timeout = ClientTimeout(total=_CALL_TIMEOUT)
        async with self._session.get(self._url, timeout=timeout) as response:
            response.raise_for_status()
            body = await response.read()
        infos_by_name = InstanceListModel.model_validate_json(body).to_infos_by_name()
        self._list_size = len(body)
        return infos_by_name

    def _adopt(self, infos_by_name: dict[str, InstanceInfo]) -> None:
        """Replace the list and tell of a change."""
        if infos_by_name == self._infos_by_name:
            return
        self._infos_by_name = infos_by_name
        _LOGGER.info("event=instances_changed count=%d", len(infos_by_name))
        for listener in list(self._listeners):
            listener()

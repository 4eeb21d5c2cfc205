"""Sets up everything by which an instance knows of others and of the store."""

from __future__ import annotations

from typing import Final

from aiohttp import ClientSession

from swiftpin.core import callback
from swiftpin.membership.cached_object import CachedObject
from swiftpin.membership.directory import DEFAULT_LIST_INTERVAL, InstanceDirectory
from swiftpin.membership.news import NewsService
from swiftpin.membership.news_settings import NewsSettings
from swiftpin.membership.no_peer_handler import NoPeerHandler
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.peer_clients import DEFAULT_CALL_TIMEOUT, PeerClients
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_handler import PeerHandler
from swiftpin.membership.peer_server import PeerServer
from swiftpin.membership.store_reader import StoreReader

DEFAULT_NEWS_SETTINGS: Final = NewsSettings()


class MembershipCoordinator:
    """Wires cache, instance list, calls to and from peers, and news.

    `cache`, `directory`, `clients` and `counters` may be used before
    `async_setup`. `handler` may be attached later, when ownership needs these
    first; until then nothing is accepted from peers.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        zone: str,
        store: StoreReader,
        session: ClientSession,
        instances_url: str,
        peer_listen: str,
        handler: PeerHandler | None = None,
        seed: int = 0,
        peer_timeout: float = DEFAULT_CALL_TIMEOUT,
        list_interval: float = DEFAULT_LIST_INTERVAL,
        news_settings: NewsSettings = DEFAULT_NEWS_SETTINGS,
    ) -> None:
        self._peer_listen = peer_listen
        self.counters = PeerCounters()
        self.cache = ObjectCache()
        self.directory = InstanceDirectory(
            session=session, url=instances_url, seed=seed, interval=list_interval
        )
        self.clients = PeerClients(
            instance_id=instance_id,
            directory=self.directory,
            counters=self.counters,
            timeout=peer_timeout,
        )
        self.news = NewsService(
            instance_id=instance_id,
            zone=zone,
            store=store,
            cache=self.cache,
            directory=self.directory,
            clients=self.clients,
            counters=self.counters,
            settings=news_settings,
            seed=seed,
        )
        self._server = PeerServer(
            instance_id=instance_id,
            handler=handler or NoPeerHandler(),
            news=self.news,
            directory=self.directory,
            counters=self.counters,
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether what the store, or a peer, knows is in the cache."""
        return self.news.is_loaded

    @callback
    def attach_handler(self, handler: PeerHandler) -> None:
        """Set who answers peers' messages about ownership."""
        self._server.attach_handler(handler)

    async def async_setup(self) -> None:
        """Listen, read the instance list and start news.

        Raises `ConfigurationError` when the address cannot be listened on. Neither
        the store nor the platform's list nor a peer needs to answer; use
        `async_wait_loaded` to wait for objects.
        """
        await self._server.async_setup(self._peer_listen)
        await self.directory.async_setup()
        await self.news.async_setup()

    async def async_unload(self) -> None:
        """Stop all of it, in the opposite order."""
        await self.news.async_unload()
        await self.directory.async_unload()
        await self._server.async_unload()
        await self.clients.async_unload()

    async def async_wait_loaded(self) -> None:
        """Wait until `is_loaded`."""
        await self.news.async_wait_loaded()

    @callback
    def publish(self, obj: CachedObject) -> None:
        """Adopt a version that this instance has just written and pass it on."""
        self.news.publish(obj)

"""One instance of the measured fleet."""

from __future__ import annotations

from aiohttp import ClientSession

from swiftpin.bench.news.lossy_peer_clients import LossyPeerClients
from swiftpin.bench.news.way import Way
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.news import NewsService
from swiftpin.membership.no_peer_handler import NoPeerHandler
from swiftpin.membership.object_cache import ObjectCache
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.membership.peer_server import PeerServer
from swiftpin.standins.listed_instance import ListedInstance
from swiftpin.store.client import StoreClient


class BenchInstance:
    """The parts that carry news, with a client that loses messages."""

    def __init__(
        self,
        *,
        listed: ListedInstance,
        way: Way,
        session: ClientSession,
        store_url: str,
        instances_url: str,
        loss: float,
        seed: int,
    ) -> None:
        instance_id = f"{listed.name}/1"
        self._listen = listed.peer
        self.counters = PeerCounters()
        self.cache = ObjectCache()
        self.store = StoreClient(session, store_url)
        self.directory = InstanceDirectory(
            session=session, url=instances_url, seed=seed
        )
        self._clients = LossyPeerClients(
            instance_id=instance_id,
            directory=self.directory,
            counters=self.counters,
            share=loss,
            seed=seed,
        )
        self.news = NewsService(
            instance_id=instance_id,
            zone=listed.zone,
            store=self.store,
            cache=self.cache,
            directory=self.directory,
            clients=self._clients,
            counters=self.counters,
            settings=way.settings,
            seed=seed,
        )
        self._server = PeerServer(
            instance_id=instance_id,
            handler=NoPeerHandler(),
            news=self.news,
            directory=self.directory,
            counters=self.counters,
        )

    async def async_setup(self) -> None:
        """Listen and start news."""
        await self._server.async_setup(self._listen)
        await self.directory.async_setup()
        await self.news.async_setup()

    async def async_unload(self) -> None:
        """Stop."""
        await self.news.async_unload()
        await self.directory.async_unload()
        await self._server.async_unload()
        await self._clients.async_unload()

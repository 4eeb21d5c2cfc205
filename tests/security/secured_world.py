"""Two complete instances with TLS on every connection, and their platform."""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

from aiohttp import ClientResponse, ClientSession

from swiftpin.bench.processes.port_allocator import PortAllocator
from swiftpin.config.config_kind import ConfigKind
from swiftpin.config.config_name import ConfigName
from swiftpin.config.config_object import ConfigObject
from swiftpin.config.envelope import encode_config_object
from swiftpin.core import monotonic_now
from swiftpin.gateway.app import Gateway
from swiftpin.gateway.settings import Settings
from swiftpin.helpers.address import parse_address
from swiftpin.helpers.logging_setup import LoggingSetup
from swiftpin.result import ResultCode
from swiftpin.security.tls_context import server_context
from swiftpin.standins.instances_standin import InstancesStandin
from swiftpin.standins.listed_instance import ListedInstance
from swiftpin.standins.target_options import TargetOptions
from swiftpin.standins.target_standin import TargetStandin
from swiftpin.store.client import StoreClient
from tests.security.certificates import Certificates
from tests.security.test_store_access import SECRET, GuardedStore

INSTANCES = ("g1", "g2")
TARGETS = ("t1", "t2", "t3")


class SecuredWorld:
    """Store and targets that require TLS, two instances and their logs.

    The store and the targets require client certificates. Peers, callers, store and
    targets have a separate CA each.
    """

    def __init__(self, session: ClientSession, directory: Path) -> None:
        self.session = session
        self.token_path = directory / "token"
        self.token_path.write_text(SECRET)
        self.peer_certificates = Certificates(directory / "peers")
        self.store_certificates = Certificates(directory / "stores")
        self.target_certificates = Certificates(directory / "targets")
        self.caller_certificates = Certificates(directory / "callers")
        self.store = GuardedStore()
        self.store.ssl_context = server_context(
            self.store_certificates.files, "http/1.1"
        )
        self.instances = InstancesStandin()
        self.targets = [TargetStandin(TargetOptions(name=name)) for name in TARGETS]
        for target in self.targets:
            target.ssl_context = server_context(
                self.target_certificates.files, "http/1.1"
            )
        self.caller_context = self.caller_certificates.context_without_certificate()
        self.gateways: list[Gateway] = []
        self.logs: list[io.BytesIO] = []
        self._ports = PortAllocator()

    async def async_setup(self) -> None:
        """Start the stand-ins and both instances, and configure a service."""
        await self.store.async_start()
        await self.instances.async_start()
        for target in self.targets:
            await target.async_start()
        for name in INSTANCES:
            await self._async_start(name)
        await self._async_configure_service()

    async def async_unload(self) -> None:
        """Stop everything."""
        for gateway in self.gateways:
            await gateway.async_unload()
            gateway._logging.unload()
        for target in self.targets:
            await target.async_stop()
        await self.instances.async_stop()
        await self.store.async_stop()

    def read_logs(self) -> str:
        """Stop logging and return what was logged."""
        for gateway in self.gateways:
            gateway._logging.unload()
        return b"".join(log.getvalue() for log in self.logs).decode()

    async def async_call(self, gateway: Gateway, key: str) -> ClientResponse:
        """Return the complete answer to a lookup."""
        async with self.session.get(
            f"https://{gateway.listeners.callers}/desk/a",
            headers={"Swiftpin-Key": key},
            ssl=self.caller_context,
        ) as answer:
            await answer.read()
            return answer

    async def async_is_served(self) -> bool:
        """Return whether a target answers lookups through both instances."""
        answered = str(ResultCode.ANSWERED.value)
        for gateway in self.gateways:
            answer = await self.async_call(gateway, "k1")
            if answer.headers["Swiftpin-Result"] != answered:
                return False
        return True

    async def _async_start(self, name: str) -> None:
        """Register and start one instance."""
        peer, forward, admin, listen = (self._ports.allocate() for _ in range(4))
        instance = ListedInstance(
            name=name, zone=name, peer=peer, forward=forward, admin=admin
        )
        self.instances.change(instance, monotonic_now())
        log = io.BytesIO()
        self.logs.append(log)
        settings = Settings(
            name=name,
            zone=name,
            listen=parse_address(listen),
            peer_listen=parse_address(peer),
            forward_listen=parse_address(forward),
            admin_listen=parse_address(admin),
            store_url=self.store.url,
            instances_url=self.instances.url,
            stop_limit=10.0,
            listen_tls_cert=self.caller_certificates.cert_path,
            listen_tls_key=self.caller_certificates.key_path,
            peer_tls_cert=self.peer_certificates.cert_path,
            peer_tls_key=self.peer_certificates.key_path,
            peer_tls_ca=self.peer_certificates.ca_path,
            store_tls_ca=self.store_certificates.ca_path,
            store_tls_cert=self.store_certificates.cert_path,
            store_tls_key=self.store_certificates.key_path,
            store_token_file=self.token_path,
            targets_tls_ca=self.target_certificates.ca_path,
            targets_tls_cert=self.target_certificates.cert_path,
            targets_tls_key=self.target_certificates.key_path,
        )
        logging = LoggingSetup(log, "info")
        logging.setup()
        gateway = Gateway(settings, logging)
        self.gateways.append(gateway)
        await gateway.async_setup()

    async def _async_configure_service(self) -> None:
        """Configure a keyed service through the store client of an instance."""
        name = ConfigName(kind=ConfigKind.SERVICE, name="desk")
        document: dict[str, Any] = {
            "apiVersion": "swiftpin/v1",
            "kind": "Service",
            "metadata": {"name": "desk"},
            "spec": {
                "profile": "default",
                "keyed": True,
                "slices": 8,
                "groups": 1,
                "targets": [
                    {"id": target_name, "address": str(target.address), "zone": "z1"}
                    for target_name, target in zip(TARGETS, self.targets, strict=True)
                ],
            },
        }
        config_object = ConfigObject(
            id=name,
            generation=1,
            writer="test",
            author="test",
            written_at=0.0,
            document=document,
        )
        store: StoreClient = self.gateways[0]._store
        await store.async_put(name.store_name, encode_config_object(config_object))

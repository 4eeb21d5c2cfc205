"""TLS certificates, store token and HTTP sessions of one instance."""

from __future__ import annotations

from aiohttp import ClientSession, DummyCookieJar, TCPConnector
from eliot import log_message

from swiftpin.core import callback
from swiftpin.gateway.settings import Settings
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.file_rules import named_file
from swiftpin.security.reloadable import Reloadable
from swiftpin.security.reloader import Reloader
from swiftpin.security.server_tls import ALPN_GRPC, ALPN_HTTP, ServerTls
from swiftpin.security.store_files import load_store_access
from swiftpin.security.tls_connector import TlsConnector
from swiftpin.security.tls_files import TlsFiles
from swiftpin.store.client import StoreClient


class EdgeSecurity:
    """TLS configuration of each port and connection; None where TLS is off.

    Raises `ConfigurationError` with flag and file when a file is invalid, before
    any session is opened. `session` connects to the platform, `target_session` to
    the targets' control interface.
    """

    def __init__(self, settings: Settings) -> None:
        peer = TlsFiles(
            ca=named_file("--peer-tls-ca", settings.peer_tls_ca),
            cert=named_file("--peer-tls-cert", settings.peer_tls_cert),
            key=named_file("--peer-tls-key", settings.peer_tls_key),
        )
        callers = TlsFiles(
            cert=named_file("--listen-tls-cert", settings.listen_tls_cert),
            key=named_file("--listen-tls-key", settings.listen_tls_key),
        )
        targets = TlsFiles(
            ca=named_file("--targets-tls-ca", settings.targets_tls_ca),
            cert=named_file("--targets-tls-cert", settings.targets_tls_cert),
            key=named_file("--targets-tls-key", settings.targets_tls_key),
        )
        self.store = load_store_access(
            ca=settings.store_tls_ca,
            cert=settings.store_tls_cert,
            key=settings.store_tls_key,
            token=settings.store_token_file,
        )
        self.callers = _create_server_tls(callers, ALPN_HTTP)
        self.forwards = _create_server_tls(peer, ALPN_HTTP)
        self.peers = _create_server_tls(peer, ALPN_GRPC)
        self.peer_client = _create_client_tls(peer)
        self.target_client = _create_client_tls(targets)
        self.reloader = Reloader(self._reloadables())
        self._store_url = settings.store_url
        self.session = _create_session(None)
        self.target_session = _create_session(self.target_client)

    @callback
    def setup(self) -> None:
        """Start watching the files for changes."""
        self.reloader.setup()
        if self.store.token is not None and self.store.tls is None:
            log_message(message_type="store_token_sent_in_clear", level="warning")

    async def async_unload(self) -> None:
        """Stop watching the files and close the sessions."""
        await self.reloader.async_unload()
        await self.target_session.close()
        await self.session.close()

    def create_store_client(self, instance_id: str, timeout: float) -> StoreClient:
        """Return a client of the store with a timeout in seconds."""
        return StoreClient(
            self.session,
            self._store_url,
            timeout=timeout,
            instance_id=instance_id,
            access=self.store,
        )

    def _reloadables(self) -> list[Reloadable[object]]:
        """Return everything that is loaded from files."""
        candidates = (
            self.callers,
            self.forwards,
            self.peers,
            self.peer_client,
            self.target_client,
            self.store.tls,
            self.store.token,
        )
        return [item for item in candidates if item is not None]  # type: ignore[misc]


def _create_server_tls(files: TlsFiles, protocol: str) -> ServerTls | None:
    """Return the TLS configuration of a port, None without files."""
    return ServerTls(files, protocol) if files.configured_files else None


def _create_client_tls(files: TlsFiles) -> ClientTls | None:
    """Return the TLS configuration for connections, None without files."""
    return ClientTls(files) if files.configured_files else None


def _create_session(tls: ClientTls | None) -> ClientSession:
    """Return a session that does not store cookies."""
    connector = TCPConnector() if tls is None else TlsConnector(tls)
    return ClientSession(connector=connector, cookie_jar=DummyCookieJar())

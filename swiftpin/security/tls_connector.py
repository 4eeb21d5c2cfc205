"""Connector for sessions whose calls all use TLS."""

from __future__ import annotations

from aiohttp import ClientSession, TCPConnector

from swiftpin.security.client_tls import ClientTls


class TlsConnector(TCPConnector):
    """Connector that holds the certificates for the calls of its session.

    A configured target is `host:port` with or without TLS, so the session determines
    whether calls to it use TLS.
    """

    def __init__(self, tls: ClientTls) -> None:
        super().__init__()
        self.tls = tls


def session_tls(session: ClientSession) -> ClientTls | None:
    """Return the certificates that a session's calls must use."""
    connector = session.connector
    return connector.tls if isinstance(connector, TlsConnector) else None

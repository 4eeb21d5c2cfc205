"""Connections of a session whose calls all use TLS."""

from __future__ import annotations

from aiohttp import ClientSession, TCPConnector

from swiftpin.security.client_tls import ClientTls


class TlsConnector(TCPConnector):
    """Connector that carries the certificates for whoever calls through it.

    A declared target is `host:port` either way, so that whether it is spoken to by
    TLS shows by the session.
    """

    def __init__(self, tls: ClientTls) -> None:
        super().__init__()
        self.tls = tls


def session_tls(session: ClientSession) -> ClientTls | None:
    """Return the certificates that a session's calls are to use."""
    connector = session.connector
    return connector.tls if isinstance(connector, TlsConnector) else None

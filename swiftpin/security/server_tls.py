"""TLS of a listening port."""

from __future__ import annotations

from ssl import SSLContext, SSLObject
from typing import Final

from swiftpin.security.reloadable import Reloadable
from swiftpin.security.tls_context import server_context
from swiftpin.security.tls_files import TlsFiles

ALPN_GRPC: Final = "h2"
ALPN_HTTP: Final = "http/1.1"

HANDSHAKE_TIMEOUT: Final = 10.0
"""Seconds that a caller has for its handshake."""


class ServerTls(Reloadable[SSLContext]):
    """Certificates for connections that come in.

    A listening socket keeps the context that it was given. That context hands each
    new connection to the one in force, which brings its certificate, key and CA.
    """

    def __init__(self, files: TlsFiles, protocol: str) -> None:
        super().__init__(
            files.configured_files, lambda: server_context(files, protocol)
        )
        self.listen_context = self.value
        self.listen_context.sni_callback = self._use_current

    def _use_current(
        self, connection: SSLObject, name: str | None, context: SSLContext
    ) -> None:
        """Serve a connection with the certificates in force.

        The library calls this at each handshake, also when no name was asked for.
        """
        connection.context = self.value

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
"""Seconds that a caller has to complete its TLS handshake."""


class ServerTls(Reloadable[SSLContext]):
    """Certificates for incoming connections.

    A listening socket keeps the context that it was created with. That context
    switches each new connection to the current one, with its certificate, key and CA.
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
        """Serve a connection with the current certificates.

        The library calls this at each handshake, even if the client sent no name.
        """
        connection.context = self.value

"""TLS for outgoing connections."""

from __future__ import annotations

from ssl import SSLContext
from typing import Final

from swiftpin.core import callback
from swiftpin.security.reloadable import Reloadable
from swiftpin.security.tls_context import client_context
from swiftpin.security.tls_files import TlsFiles

CLOSE_TIMEOUT: Final = 1.0
"""Seconds that the other side has to confirm a close. The default of 30 would keep
the sockets of a crashed peer open."""


class ClientTls(Reloadable[SSLContext]):
    """Certificates for the connections that an instance opens."""

    def __init__(self, files: TlsFiles) -> None:
        super().__init__(files.configured_files, lambda: client_context(files))

    @property
    @callback
    def context(self) -> SSLContext:
        """Return the context for the next connection."""
        return self.value

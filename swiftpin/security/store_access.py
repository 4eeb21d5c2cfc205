"""Credentials and TLS settings of a store client."""

from __future__ import annotations

from dataclasses import dataclass
from ssl import SSLContext
from typing import Final

from aiohttp.hdrs import AUTHORIZATION

from swiftpin.core import callback
from swiftpin.security.bearer_token import BearerToken
from swiftpin.security.client_tls import ClientTls


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAccess:
    """Certificates and token for calls to the store; None if not configured."""

    tls: ClientTls | None = None
    token: BearerToken | None = None

    @callback
    def headers(self) -> dict[str, str]:
        """Return the headers that authenticate the client."""
        if self.token is None:
            return {}
        return {AUTHORIZATION: f"Bearer {self.token.value}"}

    @callback
    def ssl(self) -> SSLContext | bool:
        """Return the value for aiohttp's `ssl` parameter; True is its default."""
        return True if self.tls is None else self.tls.context


NO_CREDENTIALS: Final = StoreAccess()
"""Access with neither certificates nor a token."""

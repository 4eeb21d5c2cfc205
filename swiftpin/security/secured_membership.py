"""Membership whose instances authenticate each other by certificates."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.membership.coordinator import MembershipCoordinator
from swiftpin.security.client_tls import ClientTls
from swiftpin.security.server_tls import ServerTls


class SecuredMembership(MembershipCoordinator):
    """`MembershipCoordinator` with TLS on its port and for its calls."""

    @callback
    def set_tls(self, client: ClientTls | None, server: ServerTls | None) -> None:
        """Set the certificates to use; must be called before setup."""
        self.clients.tls = client
        self._server.tls = server

"""The ports of one instance, but for that of other instances' messages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from swiftpin.core import callback
from swiftpin.exceptions import ConfigurationError
from swiftpin.gateway.admin_server import AdminServer
from swiftpin.gateway.http_listener import (
    FORWARD_HEADERS,
    FORWARD_LINE,
    MAX_HEADERS,
    MAX_LINE,
    HttpListener,
)
from swiftpin.gateway.request_handler import RequestHandler
from swiftpin.gateway.settings import Settings
from swiftpin.helpers.address import Address
from swiftpin.security.edge_security import EdgeSecurity

FLAG_CALLERS: Final = "--listen"
FLAG_FORWARD: Final = "--forward-listen"
FLAG_ADMIN: Final = "--admin-listen"


class Listeners:
    """Listens for callers, for forwarded requests and for operators.

    The addresses hold the ports that were taken, once it is set up.
    """

    def __init__(
        self,
        settings: Settings,
        handler: RequestHandler,
        admin: AdminServer,
        security: EdgeSecurity,
    ) -> None:
        self.callers = settings.listen
        self.forwards = settings.forward_listen
        self.admin = settings.admin_listen
        self._settings = settings
        self._admin = admin
        self._callers = HttpListener(
            handler.async_handle_caller,
            max_line=MAX_LINE,
            max_headers=MAX_HEADERS,
            tls=security.callers,
        )
        self._forwards = HttpListener(
            handler.async_handle_forwarded,
            max_line=FORWARD_LINE,
            max_headers=FORWARD_HEADERS,
            tls=security.forwards,
        )

    async def async_setup(self) -> None:
        """Listen on all ports; raise `ConfigurationError` when one can't be used."""
        settings = self._settings
        self.admin = await _async_listen(
            FLAG_ADMIN, settings.admin_listen, self._admin.async_setup
        )
        self.forwards = await _async_listen(
            FLAG_FORWARD, settings.forward_listen, self._forwards.async_setup
        )
        self.callers = await _async_listen(
            FLAG_CALLERS, settings.listen, self._callers.async_setup
        )

    @callback
    def stop_listening(self) -> None:
        """Take no more connections of callers or other instances."""
        self._callers.stop_listening()
        self._forwards.stop_listening()

    async def async_unload(self) -> None:
        """Close all ports and connections."""
        await self._callers.async_unload()
        await self._forwards.async_unload()
        await self._admin.async_unload()


async def _async_listen(
    flag: str, address: Address, listen: Callable[[Address], Awaitable[Address]]
) -> Address:
    """Listen on one address and name its flag when that fails."""
    try:
        return await listen(address)
    except OSError as err:
        reason = err.strerror or str(err)
        raise ConfigurationError(f"{flag} {str(address)!r}: {reason}") from err

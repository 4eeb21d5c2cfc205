"""Where an instance stands between its start and its stop."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class Lifecycle:
    """State that the request path and the admin port look at.

    `loaded` is set once the declarations are known; until then every request is
    refused, since a service would be called unknown that is not. While `leaving` is
    set each answer also ends its connection, so that callers come back through the
    balancer.
    """

    loaded: bool = False
    leaving: bool = False

    @property
    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self.loaded and not self.leaving

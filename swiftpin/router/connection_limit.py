"""Limits on the connections of an instance to targets."""

from __future__ import annotations

from typing import Final

from swiftpin.core import callback
from swiftpin.model.service_spec import ServiceSpec

MAX_IDLE_FOR_ONCE: Final = 1.0
"""Seconds for which a connection may have been idle before it carries a request that
must not run twice. Targets close idle connections, sometimes without notice, and a
request that is sent at that moment is lost."""

CONNECTION_DIVISOR: Final = 6
"""Each instance opens at most a target's connection limit divided by this."""


@callback
def connection_limit(service: ServiceSpec | None) -> int:
    """Return the maximum number of connections of this instance to one target."""
    limit = CONNECTION_DIVISOR if service is None else service.max_connections
    return max(limit // CONNECTION_DIVISOR, 2)

"""Limits on what an instance holds for others, derived from its settings."""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import Final

from swiftpin.core import callback
from swiftpin.model.instance_settings import InstanceSettings

UNMEASURED_RESIDENT_SET: Final = 64 * 1024 * 1024
"""Bytes that a started process is assumed to need where they can't be measured."""

BUFFER_SHARE: Final = 0.55
"""Share of the memory left by the started process that buffers may take. The rest is
for fragmented memory, connections without a request and what the process learns."""

HEAD_SHARE: Final = 0.1
"""Share of the memory left by the started process that long heads of requests may take
beside those buffers."""

RESERVED_DESCRIPTORS: Final = 200
"""Descriptors for files."""

FLEET_DESCRIPTORS: Final = 200
"""Descriptors for links to other instances, the store and the load balancer."""

DESCRIPTORS_PER_REQUEST: Final = 2
"""A request needs a connection from its caller and one to a target."""

REFUSED_CONNECTIONS: Final = 0.25
"""Connections that may be open beside the served ones, as a share of them, so that
their requests are answered with a truthful rejection."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityLimits:
    """What an instance may hold at most; infinite where nothing is limited."""

    buffered_bytes: float = math.inf
    """Bytes of bodies and answers, counted by the size that they may reach."""

    held_heads: float = math.inf
    """Bytes of long heads of callers' requests."""

    connections: float = math.inf
    """Callers' connections on which requests are served."""

    bandwidth: float = math.inf
    """Bytes per second of the instance's link."""

    @property
    def open_connections(self) -> float:
        """Return the number of callers' connections that may be open."""
        return self.connections * (1 + REFUSED_CONNECTIONS)

    @property
    def is_limited(self) -> bool:
        """Return whether anything is limited."""
        return not all(
            math.isinf(limit)
            for limit in (self.buffered_bytes, self.connections, self.bandwidth)
        )


@callback
def derive_limits(
    settings: InstanceSettings, resident_set: int | None
) -> CapacityLimits:
    """Return the limits of an instance.

    `resident_set` is the memory in bytes that the started process needs for itself,
    None if it is not known.
    """
    base = UNMEASURED_RESIDENT_SET if resident_set is None else resident_set
    free_bytes = max(settings.memory_limit - base, 0.0)
    sockets = settings.max_descriptors - RESERVED_DESCRIPTORS - FLEET_DESCRIPTORS
    return CapacityLimits(
        buffered_bytes=free_bytes * BUFFER_SHARE,
        held_heads=free_bytes * HEAD_SHARE,
        connections=max(sockets / DESCRIPTORS_PER_REQUEST, 1.0),
        bandwidth=settings.bandwidth or math.inf,
    )

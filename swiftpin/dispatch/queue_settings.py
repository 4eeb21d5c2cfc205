"""Limits of one target's queue."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.config.profile import Profile
from swiftpin.config.target_spec import TargetSpec
from swiftpin.dispatch.const import (
    DEFAULT_BROWNOUT_WAIT,
    DEFAULT_ISOLATION_INTERVAL,
    DEFAULT_ISOLATION_PATIENCE,
    DEFAULT_QUEUE_LENGTH,
    DEFAULT_RAMP_TIME,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueSettings:
    """Limits of a queue; times are in seconds.

    `slots` requests work at once; `connections` bounds those whose answer is still
    being read. `length` bounds the waiting requests. A class is refused while better
    classes alone would keep the target busy for `brownout_wait`. After a start the
    slots grow from 1 within `ramp_time`. An isolated request may empty the target
    once every `isolation_interval` and holds the others back no longer than
    `isolation_patience` before it starts.
    """

    slots: int = 2
    connections: int = 100
    length: int = DEFAULT_QUEUE_LENGTH
    brownout_wait: float = DEFAULT_BROWNOUT_WAIT
    ramp_time: float = DEFAULT_RAMP_TIME
    isolation_interval: float = DEFAULT_ISOLATION_INTERVAL
    isolation_patience: float = DEFAULT_ISOLATION_PATIENCE

    @classmethod
    def from_profile(cls, profile: Profile, target: TargetSpec) -> QueueSettings:
        """Return the settings for a target of a service with that profile."""
        return cls(
            slots=target.slots,
            connections=target.connections,
            length=profile.queue_length,
        )

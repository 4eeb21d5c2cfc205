"""Settings of the news service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class NewsSettings:
    """Rates and limits; times are in seconds, sizes in bytes.

    News goes to `fan_out` neighbours, in place of failing ones to up to `spares`
    others. A body longer than `announce_size` is announced first and sent where it
    is asked for. Digests are compared every `compare_interval`, `retry_interval`
    after a failure, `catch_up_interval` after a round that its limits cut.

    The store holds a watch open for `watch_wait`; after one that brought changes
    the next one starts `watch_pause` later. An instance that does not watch polls
    when nobody's contact with the store is known for `silence_limit`; the fleet
    together makes at most `polls_per_second`.
    """

    fan_out: int = 3
    spares: int = 3
    push_interval: float = 0.01
    push_size: int = 64 * 1024
    announce_size: int = 1024
    compare_interval: float = 1.0
    retry_interval: float = 0.25
    catch_up_interval: float = 0.1
    repair_size: int = 128 * 1024
    repair_stamps: int = 1000
    watchers_per_zone: int = 2
    watch_wait: float = 5.0
    watch_pause: float = 0.2
    read_delay: float = 0.2
    silence_limit: float = 15.0
    poll_interval: float = 10.0
    polls_per_second: float = 20.0
    backoff_initial: float = 0.1
    backoff_limit: float = 10.0

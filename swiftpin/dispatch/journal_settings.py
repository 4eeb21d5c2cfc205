"""Limits of an idempotency journal."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.config.outage_behaviour import OutageBehaviour
from swiftpin.config.profile import Profile

ANSWER_HEADERS_LIMIT: Final = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalSettings:
    """Limits; times in seconds, sizes in bytes.

    Outcomes are kept for `retention` after their last change, which must not be
    shorter than the longest timeout of a request. `min_interval` is the least time
    between writes on average, from which `write_burst` writes may depart; after
    failed ones it grows from `retry_base` up to `retry_cap`, with jitter. A beginning
    request waits up to `begin_limit` for its record, an ended one up to
    `finish_limit` for its outcome. Above `page_limit` records move from the head
    page to pages of up to `archive_limit`. `answer_limit` bounds the recorded answer.
    `max_records` and `max_bytes` bound the memory; `max_running` requests of up to
    `key_limit` bytes of key, fingerprint and request id fit into the head page, which
    the store bounds to 1 MiB.
    """

    retention: float = 3600.0
    min_interval: float = 0.02
    write_burst: int = 10
    begin_limit: float = 2.0
    finish_limit: float = 0.5
    retry_base: float = 0.1
    retry_cap: float = 1.0
    page_limit: int = 16 * 1024
    archive_limit: int = 256 * 1024
    answer_limit: int = 4096 + ANSWER_HEADERS_LIMIT
    key_limit: int = 512
    max_running: int = 700
    max_records: int = 100_000
    max_bytes: int = 32 * 1024 * 1024
    on_outage: OutageBehaviour = OutageBehaviour.TICKET

    @classmethod
    def from_profile(cls, profile: Profile) -> JournalSettings:
        """Return the settings of the journals of services with that profile."""
        return cls(
            retention=max(profile.idempotency_retention, profile.max_timeout),
            answer_limit=profile.answer_record_limit + ANSWER_HEADERS_LIMIT,
            on_outage=profile.on_store_outage,
        )

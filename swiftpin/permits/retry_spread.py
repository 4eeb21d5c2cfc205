"""Retry delays for rejected callers."""

from __future__ import annotations

from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback

MIN_RETRY_AFTER: Final = 0.1
MAX_RETRY_AFTER: Final = 2.0
"""Bounds of the retry delay sent to a rejected caller, in seconds."""

MAX_RATE_LIMITED_RETRY_AFTER: Final = 30.0
"""Maximum retry delay in seconds if a rate limit is the reason: it may allow less than
one request in `MAX_RETRY_AFTER`."""

EARLIEST_RETRY_SHARE: Final = 0.5
"""Share of the queue's drain time after which the first callers may retry."""

_DIGEST_RANGE: Final = 2**64


@callback
def spread_retry(
    request_id: tuple[str, int],
    drain_time: float,
    max_delay: float = MAX_RETRY_AFTER,
) -> float:
    """Return the seconds after which a rejected caller should retry.

    The delays are spread evenly around the queue's drain time. With equal delays,
    callers that were rejected together would retry together and be rejected again,
    while the target idles in between.
    """
    digest = xxh3_64_intdigest(f"{request_id[0]}\0{request_id[1]}")
    min_delay = max(drain_time * EARLIEST_RETRY_SHARE, MIN_RETRY_AFTER)
    return min(min_delay + drain_time * digest / _DIGEST_RANGE, max_delay)

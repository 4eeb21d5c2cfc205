"""When rejected callers are to come back."""

from __future__ import annotations

from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback

MIN_RETRY_AFTER: Final = 0.1
MAX_RETRY_AFTER: Final = 2.0
"""Bounds of the wait that a rejected caller is told, in seconds."""

EARLIEST_RETRY_SHARE: Final = 0.5
"""Part of the time in which a queue drains after which the first may come back."""

_DIGESTS: Final = 2**64


@callback
def spread_retry(request_id: tuple[str, int], drain: float) -> float:
    """Return the seconds after which a caller may come back to a queue.

    Spread evenly around the time in which the queue drains. Callers that were rejected
    together and told the same would come back together and be rejected again, which
    shows as requests refused several times while the target idles in between.
    """
    digest = xxh3_64_intdigest(f"{request_id[0]}\0{request_id[1]}")
    earliest = max(drain * EARLIEST_RETRY_SHARE, MIN_RETRY_AFTER)
    return min(earliest + drain * digest / _DIGESTS, MAX_RETRY_AFTER)

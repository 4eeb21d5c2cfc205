"""Decision on requests whose targets asked this instance not to call them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from xxhash import xxh3_64_intdigest

from swiftpin.core import callback

MIN_ANSWER_TIME: Final = 0.1
"""Seconds that a request needs after the end of a back-off period, at least."""

ELSEWHERE_RETRY_AFTER: Final = 0.1
"""Seconds after which a caller may retry where other instances may call the target."""

RETURN_SPREAD: Final = 0.5
"""Share of the time until the end of a period over which callers are spread after it.
With equal delays all would return at the same moment."""

_DIGEST_RANGE: Final = 2**64


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForTarget:
    """The request waits, since it can still be answered within its objective."""

    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RejectRequest:
    """The request is rejected at once."""

    retry_after: float


BackoffDecision = WaitForTarget | RejectRequest


@callback
def decide_backoff(
    request_id: str, remaining: float, objective_left: float, *, is_whole_service: bool
) -> BackoffDecision:
    """Decide on a request whose target may be called in `remaining` seconds.

    `objective_left` is the time until the caller should have the answer, in seconds.
    `is_whole_service` tells whether all targets of the service asked for a period. Then
    the other instances can hardly serve the caller either.
    """
    if remaining + MIN_ANSWER_TIME <= objective_left:
        return WaitForTarget(seconds=remaining)
    if not is_whole_service:
        return RejectRequest(retry_after=ELSEWHERE_RETRY_AFTER)
    spread = RETURN_SPREAD * xxh3_64_intdigest(request_id) / _DIGEST_RANGE
    return RejectRequest(retry_after=remaining * (1.0 + spread))

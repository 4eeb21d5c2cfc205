"""Limits on the retries of one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.model.bounds import Bounds

EARNED_SHARE: Final = 0.85
"""Share of the retry ratio that requests earn. The rest of the ratio limits how many
earned retries may be saved."""

SLACK_SHARE: Final = 0.9
"""Share of the slack that is divided among the instances. The rest covers requests that
are counted late, retries that arrive late, and the retries that instances without a
share have saved."""

MIN_SAVED_RETRIES: Final = 1.0
"""Earned retries that every instance may save; with less than one it could never
retry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """Limits on the retries of one service that one instance may send.

    Within any window, the retries of all instances together do not exceed the retry
    ratio times the requests plus the slack, even if instances start, stop or are
    partitioned meanwhile:

    - Each request of the window earns `earned_per_request`, at whichever instance it
      arrives.
    - The retries saved at the start of the window are at most `max_saved_per_request`
      for each request of the previous window. A new instance has none saved.
    - Only instances that have been in contact with the fleet for longer than a window
      spend slack. All of them existed when the window started, so their shares add up
      to the total slack.

    In addition each instance may save one retry, so the sum holds as long as there are
    fewer instances than retries in the slack.
    """

    earned_per_request: float
    """Retries earned by each request."""

    max_saved_per_request: float
    """Retries that may be saved for each request of the latest window."""

    slack: float
    """Additional retries per window. Saved retries beyond `max_saved_per_request` count
    against them."""

    window: float
    """Length of a window, in seconds."""


@callback
def retry_limits(bounds: Bounds, members: int | None) -> RetryLimits:
    """Return the limits of one of `members` instances.

    `members` is None for an instance that has no share of the slack.
    """
    return RetryLimits(
        earned_per_request=EARNED_SHARE * bounds.retry_ratio,
        max_saved_per_request=(1 - EARNED_SHARE) * bounds.retry_ratio,
        slack=0.0 if members is None else SLACK_SHARE * bounds.retry_slack / members,
        window=bounds.retry_window,
    )

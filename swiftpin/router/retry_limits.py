"""Limits of the retries of one instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from swiftpin.core import callback
from swiftpin.model.bounds import Bounds

EARNED_SHARE: Final = 0.85
"""Part of the ratio that requests earn for retries; the rest of the ratio bounds what
may be saved of it."""

SLACK_SHARE: Final = 0.9
"""Part of the slack that is shared out. What is left covers requests that are counted
late, retries that arrive late, and what instances without a share have saved."""

MIN_SAVED_RETRIES: Final = 1.0
"""Retries that every instance may save; with less it could never retry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RetryLimits:
    """What one instance may spend on retries of one service.

    The retries of all instances in a window stay within the ratio of the requests and
    the slack, whatever starts, ends or is cut off meanwhile:

    - Requests of the window earn `earned` each, wherever they came in.
    - What was saved when the window began is at most `saved_ratio` for each request of
      the window before. An instance that starts has saved nothing.
    - Only instances that have been in touch for longer than a window spend slack. All
      of them were there when the window began, and their shares add up to the whole.

    Each instance may save one retry beside that, so the sum holds while there are
    fewer instances than retries in the slack.
    """

    earned_per_request: float
    """Retries that a request earns."""

    max_saved_per_request: float
    """Retries that may be saved for each request of the last window."""

    slack: float
    """Retries in a window besides; what is saved beyond `saved_ratio` counts among
    them."""

    window: float
    """Length of the window, in seconds."""


@callback
def retry_limits(bounds: Bounds, members: int | None) -> RetryLimits:
    """Return the limits of one of `members`, None for one that has no share."""
    return RetryLimits(
        earned_per_request=EARNED_SHARE * bounds.retry_ratio,
        max_saved_per_request=(1 - EARNED_SHARE) * bounds.retry_ratio,
        slack=0.0 if members is None else SLACK_SHARE * bounds.retry_slack / members,
        window=bounds.retry_window,
    )

"""End of the time in which a stopping instance passes requests on."""

from __future__ import annotations

import math
from typing import Final

from swiftpin.core import callback
from swiftpin.exceptions import ShuttingDownError

STOPPING_RETRY_AFTER: Final = 0.05
"""Seconds after which a caller may retry a request that a stopping instance refused.
The load balancer sends it to another instance."""


class SendCutoff:
    """Decides whether a stopping instance may still pass a request on.

    A target may use all the time that a request has. A request that could outlast the
    process is refused, whatever it has waited for, since another instance can serve
    it. Times are on the event loop's clock.
    """

    def __init__(self) -> None:
        self._exit_at = math.inf

    @callback
    def set_exit(self, exit_at: float) -> None:
        """Allow only requests that end before the process exits."""
        self._exit_at = exit_at

    @callback
    def allows(self, ends_at: float) -> bool:
        """Return whether a request with a deadline may be passed on."""
        return ends_at <= self._exit_at

    @callback
    def check(self, ends_at: float) -> None:
        """Raise `ShuttingDownError` if a request may not be passed on."""
        if not self.allows(ends_at):
            raise shutting_down_error()


@callback
def shutting_down_error() -> ShuttingDownError:
    """Return the error for a request that a stopping instance does not pass on."""
    return ShuttingDownError(
        "the instance is about to end", retry_after=STOPPING_RETRY_AFTER
    )

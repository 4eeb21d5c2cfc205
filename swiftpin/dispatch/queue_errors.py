"""The refusals of a target's queue."""

from __future__ import annotations

from random import Random

from swiftpin.core import callback
from swiftpin.dispatch.close_reason import CloseReason
from swiftpin.dispatch.exceptions import SliceMovedError
from swiftpin.dispatch.retry_after import retry_after
from swiftpin.exceptions import (
    DeadlineTooShortError,
    NoOwnerError,
    NotRunError,
    QueueFullError,
    ShuttingDownError,
)


class QueueErrors:
    """Makes refusals whose times to send again are spread by the backlog."""

    __slots__ = ("_rng",)

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    @callback
    def full(self, backlog: float) -> QueueFullError:
        """Return the refusal of a request for which there is no room."""
        return QueueFullError(
            "the target has too much work waiting; send again later",
            retry_after=retry_after(backlog, self._rng),
        )

    @callback
    def late(self, backlog: float) -> DeadlineTooShortError:
        """Return the refusal of a request that cannot end in time."""
        return DeadlineTooShortError(
            "the target cannot end the request before its deadline",
            retry_after=retry_after(backlog, self._rng),
        )

    @callback
    def moved(self) -> SliceMovedError:
        """Return the refusal of a request whose slice left the target."""
        return SliceMovedError(
            "the key moved to another target", retry_after=retry_after(0.0, self._rng)
        )

    @callback
    def closed(self, reason: CloseReason) -> NotRunError:
        """Return the refusal of a closed queue."""
        after = retry_after(0.0, self._rng)
        match reason:
            case CloseReason.STOPPING:
                return ShuttingDownError("the instance stops", retry_after=after)
            case _:
                return NoOwnerError(
                    f"the target serves the key no longer ({reason.value})",
                    retry_after=after,
                )
